package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reports, commands and transactions that come late, again or in another order. */
class StaleMessageTest {
  private static LongStream seeds() {
    return LongStream.rangeClosed(1, 10);
  }

  /** Work of every kind that starts, ends and is cancelled for a minute. */
  private static List<Job> submitChurn(SimulatedCluster world, long seed) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 24; i++) {
      JobKind kind = i % 3 == 0 ? JobKind.SERVICE : i % 8 == 1 ? JobKind.GANG : JobKind.ARRAY;
      String team = i % 2 == 0 ? "red" : "blue";
      Job job = TestFixtures.job(i, kind, 1 + i % 4, i % 3, team, Priority.HIGH, false, i % 4 == 0);
      jobs.add(job);
      world.at(3000 + i * 1700L, () -> world.submit(job));
      if (kind == JobKind.SERVICE) {
        world.at(12_000 + i * 1700L + 311 * seed % 3000, () -> world.abort(job.uid()));
      }
    }
    return jobs;
  }

  /**
   * Old reports arrive after newer ones, also from an earlier incarnation or attempt. The larger
   * (incarnation, sequence number) is the newer, and an end is one whenever it is heard.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void oldReportsAfterNewerOnes(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    world.lateReports = 0.3;
    List<Job> jobs = submitChurn(world, seed);
    for (int i = 0; i < 4; i++) {
      world.at(15_000 + 9000L * i, () -> hang(world, 11_000 + 500 * seed));
    }
    world.run(70);
    ExpectedOutcome.allServed(world, jobs);
  }

  /**
   * Old reports reach every controller just as a new leader begins, which has no newer one to
   * compare with. They show an older term's token, so nothing that they lack counts as absent.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void oldReportsAtANewLeader(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    world.heartbeatsForNextLeader = 0.4;
    List<Job> jobs = submitChurn(world, seed);
    for (int i = 0; i < 5; i++) {
      world.at(
          12_000 + 9000L * i + 37 * seed,
          () -> {
            if (world.leader() != null) {
              world.crash(world.leader(), 1500);
            }
          });
    }
    world.run(70);
    ExpectedOutcome.allServed(world, jobs);
  }

  /** A report is held back until a new leader has acted, and then arrives there. */
  @ParameterizedTest
  @ValueSource(ints = {3500, 4000, 4500, 5000, 6000, 8000, 12_000, 16_000})
  void aReportHeldBackUntilTheNewLeaderHasActed(int heldMs) {
    SimulatedCluster world = new SimulatedCluster(4);
    List<Job> jobs = new ArrayList<>();
    jobs.add(TestFixtures.job(1, JobKind.ARRAY, 4, 1));
    jobs.add(TestFixtures.job(2, JobKind.SERVICE, 4, 1));
    jobs.forEach(world::submit);
    world.run(8);
    world.holdNextReports(heldMs);
    world.run(1.2);
    world.crash(world.leader(), 20_000);
    world.run(40);
    ExpectedOutcome.allServed(world, jobs);
  }

  /** A command or its answer is held up for seconds, and the machine then goes on. */
  @ParameterizedTest
  @MethodSource("seeds")
  void commandsHeldUpWhileTheMachineHangs(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    world.late = 0.1;
    world.lateMs = 9000;
    List<Job> jobs = submitChurn(world, seed);
    for (int i = 0; i < 8; i++) {
      world.at(8000 + 5000L * i, () -> hang(world, 2000 + 700 * seed));
    }
    world.at(30_000, () -> world.crash(world.leader() == null ? "roost-1" : world.leader(), 2500));
    world.run(75);
    ExpectedOutcome.allServed(world, jobs);
  }

  private static void hang(SimulatedCluster world, long ms) {
    List<FakeWorker> workers = world.workers();
    if (!workers.isEmpty()) {
      FakeWorker worker = workers.get(world.random.nextInt(workers.size()));
      worker.hanging = true;
      world.at(ms, () -> worker.hanging = false);
    }
  }

  /** Transactions without an answer are carried out late, after newer ones of the same node. */
  @ParameterizedTest
  @MethodSource("seeds")
  void transactionsAfterNewerOnes(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    world.at(4000, () -> world.lateWrites = 0.25);
    List<Job> jobs = submitChurn(world, seed);
    world.at(20_000 + 100 * seed, () -> crashLeader(world, 2500));
    world.at(36_000 + 300 * seed, () -> crashLeader(world, 300));
    world.run(70);
    ExpectedOutcome.allServed(world, jobs);
  }

  private static void crashLeader(SimulatedCluster world, long forMs) {
    if (world.leader() != null) {
      world.crash(world.leader(), forMs);
    }
  }

  /** New machines are up within two seconds and get work while writes lag, and the leader ends. */
  @ParameterizedTest
  @ValueSource(ints = {0, 100, 200, 400, 700, 1000, 1500, 2000, 2500, 3000, 4000, 6000})
  void workForMachinesThatAreUpAtOnceWhileWritesLag(int crashAfterMs) {
    SimulatedCluster world = new SimulatedCluster(9);
    world.cloud.bootMs = 300;
    world.run(4);
    world.lateWrites = 0.3;
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      Job job = TestFixtures.job(i, i % 2 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 3, 1 + i % 3);
      jobs.add(job);
      world.at(300L * i, () -> world.submit(job));
    }
    world.at(300 + crashAfterMs, () -> crashLeader(world, 2000));
    world.run(25);
    ExpectedOutcome.allServed(world, jobs);
    assertTrue(world.checker.starts > 0);
  }

  /** What can't be counted twice: a report that comes twice, also from an earlier incarnation. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void doubledAndLateMessagesOfEveryKind(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    world.doubled = 0.2;
    world.late = 0.05;
    world.lateReports = 0.1;
    world.lostAnswers = 0.05;
    List<Job> jobs = submitChurn(world, seed);
    world.run(80);
    ExpectedOutcome.allServed(world, jobs);
    assertEquals(0, world.checker.startsAfterCancellation, "of a cancelled job nothing starts");
  }
}
