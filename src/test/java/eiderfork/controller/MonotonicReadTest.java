package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.store.ReadBarrier;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** No node answers a user with an older status than any node has answered before. */
class MonotonicReadTest {
  private static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  /** Users poll once more: every job is terminal at every node. */
  private static void assertAllTerminal(SimulatedCluster world, List<Job> jobs) {
    jobs.forEach(job -> world.queryAll(job.uid()));
    world.run(3);
    assertNoBreaches(world);
    jobs.forEach(job -> assertNotNull(world.checker.finalStance(job.uid()), job::uid));
  }

  private static void assertNoBreaches(SimulatedCluster world) {
    assertEquals(List.of(), world.checker.breaches);
  }

  /** Arrays of a few tasks that end one after the other, and services that are cancelled. */
  private static List<Job> submitLoad(SimulatedCluster world, int jobs) {
    List<Job> all = new ArrayList<>();
    for (int i = 1; i <= jobs; i++) {
      Job job = TestFixtures.job(i, i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 1 + i % 3, i % 2);
      all.add(job);
      world.at(500L * i, () -> world.submit(job));
      if (job.kind() == JobKind.SERVICE) {
        world.at(12_000 + 700L * i, () -> world.abort(job.uid()));
      }
    }
    return all;
  }

  /**
   * All nodes are queried, and the submission is repeated at each, within milliseconds of every
   * answer that is new. Guards: {@link ReadBarrier} for cancellations that a peer wrote, the state
   * service alone for what is not in memory, {@link FinalStatusCache} for what is over.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void noNodeAnswersWithAnOlderStatusRightAfterAnAnswer(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    world.lookCloselyAtNews(true);
    List<Job> jobs = submitLoad(world, 18);
    world.run(60);
    assertNoBreaches(world);
    assertAllTerminal(world, jobs);
  }

  /**
   * A transaction is carried out at once and only its answer is lost, while other nodes read what
   * it wrote: the leader's own write of a job's end among them, which another node reports as done
   * while the leader does not know yet. Until that settles it does not answer from memory.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void readsStayMonotonicWhileRepliesToWritesAreLost(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    world.lookCloselyAtNews(true);
    world.at(5_000, () -> world.lostAnswers = 0.5);
    // Polls reach the store also through nodes that can't reach the leader.
    world.at(5_000, () -> world.cut("roost-0>roost-2", 40_000));
    world.at(5_000, () -> world.cut("roost-1>roost-2", 40_000));
    world.at(5_000, () -> world.cut("roost-2>roost-0", 40_000));
    List<Job> jobs = submitLoad(world, 18);
    for (int i = 0; i < 900; i++) {
      int number = 1 + i % 18;
      world.at(8_000 + 50L * i, () -> world.queryAll("run-%06d".formatted(number)));
    }
    world.at(50_000, () -> world.lostAnswers = 0);
    world.run(90);
    assertNoBreaches(world);
    assertAllTerminal(world, jobs);
  }

  /** The same with transactions that are carried out late, after newer ones. */
  @ParameterizedTest
  @MethodSource("seeds")
  void readsStayMonotonicWithLateTransactions(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    world.lookCloselyAtNews(true);
    world.at(5_000, () -> world.lateWrites = 0.3);
    List<Job> jobs = submitLoad(world, 18);
    world.at(20_000, () -> world.crash(world.leader() == null ? "roost-0" : world.leader(), 3000));
    world.at(50_000, () -> world.lateWrites = 0);
    world.run(100);
    assertNoBreaches(world);
    assertAllTerminal(world, jobs);
  }

  /**
   * A cancellation, a query or a repeated submission races with the end of a job's last task. The
   * write of the end is conditional on no cancellation, and that of the cancellation on an
   * unchanged allocation.
   */
  @ParameterizedTest
  @ValueSource(
      ints = {0, 50, 100, 150, 200, 250, 300, 350, 400, 450, 500, 600, 700, 800, 900, 1000, 1200})
  void cancellationRacingWithCompletionHasOneFinalStatus(int afterMs) {
    for (int i = 0; i < 9; i++) {
      String at = "roost-" + i % 3;
      SimulatedCluster world = new SimulatedCluster(7);
      world.lookCloselyAtNews(true);
      // The slower the store, the wider the moment between the read and the write.
      world.stateDelayMs = 80 * (i / 3);
      world.submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
      world.run(20);
      Job job = TestFixtures.job(2, JobKind.ARRAY, 1, 1);
      world.submit(job);
      // It fetches for 0.7 s and runs for 4 s.
      world.at(4600 + afterMs, () -> world.abortAt(at, job.uid()));
      for (int ms = 4400; ms < 9000; ms += 20) {
        world.at(ms, () -> world.queryAll(job.uid()));
      }
      world.run(20);
      assertNoBreaches(world);
      world.query(job.uid());
      world.run(2);
      assertNoBreaches(world);
      assertNotNull(world.checker.finalStance(job.uid()));
    }
  }

  /** A job is cancelled while its submission is still on its way at other nodes. */
  @ParameterizedTest
  @MethodSource("seeds")
  void cancellationRightAfterSubmissionIsKept(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    world.lookCloselyAtNews(true);
    world.run(10);
    for (int i = 1; i <= 10; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 2, 1);
      world.submit(job);
      world.at(i * 3L, () -> world.abort(job.uid()));
      world.run(1);
    }
    world.run(30);
    assertNoBreaches(world);
    for (int i = 1; i <= 10; i++) {
      String uid = "run-%06d".formatted(i);
      assertEquals(Phase.ABORTED, world.checker.finalStance(uid));
      assertEquals(0, world.checker.running(uid));
    }
  }

  /** Malformed, impossible, unknown and terminal jobs are answered as such, at any time. */
  @Test
  void unusualRequestsAreAnsweredDuringAFailover() {
    SimulatedCluster world = new SimulatedCluster(3);
    Job done = TestFixtures.job(1, JobKind.ARRAY, 1, 1);
    Job running = TestFixtures.job(2, JobKind.SERVICE, 1, 1);
    world.submit(done);
    world.submit(running);
    world.run(30);
    world.crash(world.leader(), 6000);
    for (int i = 0; i < 200; i++) {
      world.at(i * 40L, () -> world.abort(done.uid()));
      world.at(i * 40L, () -> world.submit(running));
      Job impossible = TestFixtures.job(100 + i, JobKind.SERVICE, 1, 64);
      world.at(i * 40L, () -> world.submit(impossible));
      world.at(i * 40L, () -> world.query("run-009999"));
    }
    world.run(40);
    assertNoBreaches(world);
    assertEquals(Phase.DONE, world.checker.finalStance(done.uid()));
    assertEquals(1, world.checker.running(running.uid()));
    for (int i = 0; i < 200; i++) {
      String uid = "run-%06d".formatted(100 + i);
      assertTrue(world.checker.wasRefused(uid), uid);
    }
  }
}
