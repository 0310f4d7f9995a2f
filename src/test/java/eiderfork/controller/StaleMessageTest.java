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
  private static List<Job> submitChurn(SimulatedCluster cluster, long seed) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 24; i++) {
      JobKind kind = i % 3 == 0 ? JobKind.SERVICE : i % 8 == 1 ? JobKind.GANG : JobKind.ARRAY;
      String team = i % 2 == 0 ? "red" : "blue";
      Job job = TestFixtures.job(i, kind, 1 + i % 4, i % 3, team, Priority.HIGH, false, i % 4 == 0);
      jobs.add(job);
      cluster.schedule(3000 + i * 1700L, () -> cluster.submit(job));
      if (kind == JobKind.SERVICE) {
        cluster.schedule(12_000 + i * 1700L + 311 * seed % 3000, () -> cluster.cancel(job.uid()));
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
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.repeatedHeartbeatProbability = 0.3;
    List<Job> jobs = submitChurn(cluster, seed);
    for (int i = 0; i < 4; i++) {
      cluster.schedule(15_000 + 9000L * i, () -> hang(cluster, 11_000 + 500 * seed));
    }
    cluster.run(70);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * Old reports reach every controller just as a new leader begins, which has no newer one to
   * compare with. They show an older term's token, so nothing that they lack counts as absent.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void oldReportsAtANewLeader(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.nextLeaderHeartbeatProbability = 0.4;
    List<Job> jobs = submitChurn(cluster, seed);
    for (int i = 0; i < 5; i++) {
      cluster.schedule(
          12_000 + 9000L * i + 37 * seed,
          () -> {
            if (cluster.leader() != null) {
              cluster.crashNode(cluster.leader(), 1500);
            }
          });
    }
    cluster.run(70);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** A report is held back until a new leader has acted, and then arrives there. */
  @ParameterizedTest
  @ValueSource(ints = {3500, 4000, 4500, 5000, 6000, 8000, 12_000, 16_000})
  void aReportHeldBackUntilTheNewLeaderHasActed(int heldMs) {
    SimulatedCluster cluster = new SimulatedCluster(4);
    List<Job> jobs = new ArrayList<>();
    jobs.add(TestFixtures.job(1, JobKind.ARRAY, 4, 1));
    jobs.add(TestFixtures.job(2, JobKind.SERVICE, 4, 1));
    jobs.forEach(cluster::submit);
    cluster.run(8);
    cluster.delayNextHeartbeats(heldMs);
    cluster.run(1.2);
    cluster.crashNode(cluster.leader(), 20_000);
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** A command or its answer is held up for seconds, and the machine then goes on. */
  @ParameterizedTest
  @MethodSource("seeds")
  void commandsHeldUpWhileTheMachineHangs(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.delayProbability = 0.1;
    cluster.maxDelayMs = 9000;
    List<Job> jobs = submitChurn(cluster, seed);
    for (int i = 0; i < 8; i++) {
      cluster.schedule(8000 + 5000L * i, () -> hang(cluster, 2000 + 700 * seed));
    }
    cluster.schedule(
        30_000,
        () -> cluster.crashNode(cluster.leader() == null ? "roost-1" : cluster.leader(), 2500));
    cluster.run(75);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  private static void hang(SimulatedCluster cluster, long ms) {
    List<FakeWorker> workers = cluster.workers();
    if (!workers.isEmpty()) {
      FakeWorker worker = workers.get(cluster.random.nextInt(workers.size()));
      worker.isHanging = true;
      cluster.schedule(ms, () -> worker.isHanging = false);
    }
  }

  /** Transactions without an answer are carried out late, after newer ones of the same node. */
  @ParameterizedTest
  @MethodSource("seeds")
  void transactionsAfterNewerOnes(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.schedule(4000, () -> cluster.lateTransactionProbability = 0.25);
    List<Job> jobs = submitChurn(cluster, seed);
    cluster.schedule(20_000 + 100 * seed, () -> crashLeader(cluster, 2500));
    cluster.schedule(36_000 + 300 * seed, () -> crashLeader(cluster, 300));
    cluster.run(70);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  private static void crashLeader(SimulatedCluster cluster, long forMs) {
    if (cluster.leader() != null) {
      cluster.crashNode(cluster.leader(), forMs);
    }
  }

  /** New machines are up within two seconds and get work while writes lag, and the leader ends. */
  @ParameterizedTest
  @ValueSource(ints = {0, 100, 200, 400, 700, 1000, 1500, 2000, 2500, 3000, 4000, 6000})
  void workForMachinesThatAreUpAtOnceWhileWritesLag(int crashAfterMs) {
    SimulatedCluster cluster = new SimulatedCluster(9);
    cluster.cloud.bootMs = 300;
    cluster.run(4);
    cluster.lateTransactionProbability = 0.3;
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      Job job = TestFixtures.job(i, i % 2 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 3, 1 + i % 3);
      jobs.add(job);
      cluster.schedule(300L * i, () -> cluster.submit(job));
    }
    cluster.schedule(300 + crashAfterMs, () -> crashLeader(cluster, 2000));
    cluster.run(25);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    assertTrue(cluster.checker.startCount > 0);
  }

  /** What can't be counted twice: a report that comes twice, also from an earlier incarnation. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void doubledAndLateMessagesOfEveryKind(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.duplicateProbability = 0.2;
    cluster.delayProbability = 0.05;
    cluster.repeatedHeartbeatProbability = 0.1;
    cluster.lostStoreReplyProbability = 0.05;
    List<Job> jobs = submitChurn(cluster, seed);
    cluster.run(80);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    assertEquals(0, cluster.checker.startsAfterCancellation, "of a cancelled job nothing starts");
  }
}
