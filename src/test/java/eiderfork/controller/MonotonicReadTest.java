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

/**
 * Tests that reads are monotonic: no node answers with an older status of a job than any node has
 * answered before.
 */
class MonotonicReadTest {
  private static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  /** Queries all jobs at all nodes and asserts that every job is terminal. */
  private static void assertAllTerminal(SimulatedCluster cluster, List<Job> jobs) {
    jobs.forEach(job -> cluster.queryAllNodes(job.uid()));
    cluster.run(3);
    assertNoViolations(cluster);
    jobs.forEach(job -> assertNotNull(cluster.checker.finalPhase(job.uid()), job::uid));
  }

  private static void assertNoViolations(SimulatedCluster cluster) {
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** Schedules arrays of a few tasks that end one after the other, and services to be cancelled. */
  private static List<Job> submitLoad(SimulatedCluster cluster, int jobCount) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= jobCount; i++) {
      Job job = TestFixtures.job(i, i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 1 + i % 3, i % 2);
      jobs.add(job);
      cluster.schedule(500L * i, () -> cluster.submit(job));
      if (job.kind() == JobKind.SERVICE) {
        cluster.schedule(12_000 + 700L * i, () -> cluster.cancel(job.uid()));
      }
    }
    return jobs;
  }

  /**
   * Queries all nodes and resubmits the job to each within milliseconds of every answer with a new
   * status. Three mechanisms keep the answers consistent: {@link ReadBarrier} for cancellations
   * that a peer wrote, reads from the store alone for jobs that are not in memory, and {@link
   * FinalStatusCache} for terminal jobs.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void noNodeAnswersWithAnOlderStatusRightAfterAnAnswer(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.setProbesAfterNews(true);
    List<Job> jobs = submitLoad(cluster, 18);
    cluster.run(60);
    assertNoViolations(cluster);
    assertAllTerminal(cluster, jobs);
  }

  /**
   * Transactions are executed at once and only their replies are lost, while other nodes read what
   * was written. If the leader's write that a job is done loses its reply, another node reports the
   * job as done before the leader knows. Until the outcome of the write is known, the leader must
   * not answer from memory.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void readsStayMonotonicWhileRepliesToWritesAreLost(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.setProbesAfterNews(true);
    cluster.schedule(5_000, () -> cluster.lostStoreReplyProbability = 0.5);
    // Nodes that can't reach the leader answer queries from the store.
    cluster.schedule(5_000, () -> cluster.cutLink("roost-0>roost-2", 40_000));
    cluster.schedule(5_000, () -> cluster.cutLink("roost-1>roost-2", 40_000));
    cluster.schedule(5_000, () -> cluster.cutLink("roost-2>roost-0", 40_000));
    List<Job> jobs = submitLoad(cluster, 18);
    for (int i = 0; i < 900; i++) {
      int number = 1 + i % 18;
      cluster.schedule(8_000 + 50L * i, () -> cluster.queryAllNodes("run-%06d".formatted(number)));
    }
    cluster.schedule(50_000, () -> cluster.lostStoreReplyProbability = 0);
    cluster.run(90);
    assertNoViolations(cluster);
    assertAllTerminal(cluster, jobs);
  }

  /** Reads stay monotonic while transactions are executed late, after newer ones. */
  @ParameterizedTest
  @MethodSource("seeds")
  void readsStayMonotonicWithLateTransactions(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.setProbesAfterNews(true);
    cluster.schedule(5_000, () -> cluster.lateTransactionProbability = 0.3);
    List<Job> jobs = submitLoad(cluster, 18);
    cluster.schedule(
        20_000,
        () -> cluster.crashNode(cluster.leader() == null ? "roost-0" : cluster.leader(), 3000));
    cluster.schedule(50_000, () -> cluster.lateTransactionProbability = 0);
    cluster.run(100);
    assertNoViolations(cluster);
    assertAllTerminal(cluster, jobs);
  }

  /**
   * Cancellations, queries and resubmissions race with the end of a job's last task. The write that
   * completes the job is conditional on the absence of a cancellation, and the write of the
   * cancellation on an unchanged allocation.
   */
  @ParameterizedTest
  @ValueSource(
      ints = {0, 50, 100, 150, 200, 250, 300, 350, 400, 450, 500, 600, 700, 800, 900, 1000, 1200})
  void cancellationRacingWithCompletionHasOneFinalStatus(int afterMs) {
    for (int i = 0; i < 9; i++) {
      String node = "roost-" + i % 3;
      SimulatedCluster cluster = new SimulatedCluster(7);
      cluster.setProbesAfterNews(true);
      // The slower the store, the longer the time between the read and the write.
      cluster.storeDelayMs = 80 * (i / 3);
      cluster.submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
      cluster.run(20);
      Job job = TestFixtures.job(2, JobKind.ARRAY, 1, 1);
      cluster.submit(job);
      // Its task fetches the image for 0.7 s and runs for 4 s.
      cluster.schedule(4600 + afterMs, () -> cluster.cancelOnce(node, job.uid()));
      for (int ms = 4400; ms < 9000; ms += 20) {
        cluster.schedule(ms, () -> cluster.queryAllNodes(job.uid()));
      }
      cluster.run(20);
      assertNoViolations(cluster);
      cluster.queryRandomNode(job.uid());
      cluster.run(2);
      assertNoViolations(cluster);
      assertNotNull(cluster.checker.finalPhase(job.uid()));
    }
  }

  /** A job is cancelled while other nodes may still be processing its submission. */
  @ParameterizedTest
  @MethodSource("seeds")
  void cancellationRightAfterSubmissionIsKept(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.setProbesAfterNews(true);
    cluster.run(10);
    for (int i = 1; i <= 10; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 2, 1);
      cluster.submit(job);
      cluster.schedule(i * 3L, () -> cluster.cancel(job.uid()));
      cluster.run(1);
    }
    cluster.run(30);
    assertNoViolations(cluster);
    for (int i = 1; i <= 10; i++) {
      String uid = "run-%06d".formatted(i);
      assertEquals(Phase.ABORTED, cluster.checker.finalPhase(uid));
      assertEquals(0, cluster.checker.runningTasks(uid));
    }
  }

  /** Requests for impossible, unknown and terminal jobs are answered as such during a failover. */
  @Test
  void unusualRequestsAreAnsweredDuringAFailover() {
    SimulatedCluster cluster = new SimulatedCluster(3);
    Job done = TestFixtures.job(1, JobKind.ARRAY, 1, 1);
    Job running = TestFixtures.job(2, JobKind.SERVICE, 1, 1);
    cluster.submit(done);
    cluster.submit(running);
    cluster.run(30);
    cluster.crashNode(cluster.leader(), 6000);
    for (int i = 0; i < 200; i++) {
      cluster.schedule(i * 40L, () -> cluster.cancel(done.uid()));
      cluster.schedule(i * 40L, () -> cluster.submit(running));
      Job impossible = TestFixtures.job(100 + i, JobKind.SERVICE, 1, 64);
      cluster.schedule(i * 40L, () -> cluster.submit(impossible));
      cluster.schedule(i * 40L, () -> cluster.queryRandomNode("run-009999"));
    }
    cluster.run(40);
    assertNoViolations(cluster);
    assertEquals(Phase.DONE, cluster.checker.finalPhase(done.uid()));
    assertEquals(1, cluster.checker.runningTasks(running.uid()));
    for (int i = 0; i < 200; i++) {
      String uid = "run-%06d".formatted(100 + i);
      assertTrue(cluster.checker.wasRefused(uid), uid);
    }
  }
}
