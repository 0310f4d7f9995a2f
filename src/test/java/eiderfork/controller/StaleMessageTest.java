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

/** Heartbeats, commands and transactions that are delayed, duplicated or reordered. */
class StaleMessageTest {
  private static LongStream seeds() {
    return LongStream.rangeClosed(1, 10);
  }

  /** Submits jobs of all kinds, some of which are cancelled, over about a minute. */
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
   * Old heartbeats arrive after newer ones, also from an earlier incarnation or attempt. The one
   * with the larger (incarnation, sequence number) is newer; the end of a task counts in either.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void heartbeatsThatArriveAfterNewerOnesAreHarmless(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.repeatedHeartbeatProbability = 0.3;
    List<Job> jobs = submitChurn(cluster, seed);
    for (int i = 0; i < 4; i++) {
      cluster.schedule(15_000 + 9000L * i, () -> hangRandomWorker(cluster, 11_000 + 500 * seed));
    }
    cluster.run(70);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * Old heartbeats reach every controller just after a new leader is elected, which has no newer
   * one to compare with. They carry a fencing token of an older term, so a task that is missing in
   * them does not count as absent.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void oldHeartbeatsAtANewLeaderAreHarmless(long seed) {
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

  /** A heartbeat is delayed and reaches the new leader only after it has started to act. */
  @ParameterizedTest
  @ValueSource(ints = {3500, 4000, 4500, 5000, 6000, 8000, 12_000, 16_000})
  void aHeartbeatThatArrivesAfterTheNewLeaderHasActedIsHarmless(int delayMs) {
    SimulatedCluster cluster = new SimulatedCluster(4);
    List<Job> jobs = new ArrayList<>();
    jobs.add(TestFixtures.job(1, JobKind.ARRAY, 4, 1));
    jobs.add(TestFixtures.job(2, JobKind.SERVICE, 4, 1));
    jobs.forEach(cluster::submit);
    cluster.run(8);
    cluster.delayNextHeartbeats(delayMs);
    cluster.run(1.2);
    cluster.crashNode(cluster.leader(), 20_000);
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Commands and their replies are delayed for seconds while workers hang and resume. */
  @ParameterizedTest
  @MethodSource("seeds")
  void delayedCommandsToHangingWorkersAreHarmless(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.delayProbability = 0.1;
    cluster.maxDelayMs = 9000;
    List<Job> jobs = submitChurn(cluster, seed);
    for (int i = 0; i < 8; i++) {
      cluster.schedule(8000 + 5000L * i, () -> hangRandomWorker(cluster, 2000 + 700 * seed));
    }
    cluster.schedule(
        30_000,
        () -> cluster.crashNode(cluster.leader() == null ? "roost-1" : cluster.leader(), 2500));
    cluster.run(75);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  private static void hangRandomWorker(SimulatedCluster cluster, long durationMs) {
    List<FakeWorker> workers = cluster.workers();
    if (!workers.isEmpty()) {
      FakeWorker worker = workers.get(cluster.random.nextInt(workers.size()));
      worker.isHanging = true;
      cluster.schedule(durationMs, () -> worker.isHanging = false);
    }
  }

  /** Transactions without a reply are executed late, after newer ones of the same node. */
  @ParameterizedTest
  @MethodSource("seeds")
  void transactionsThatExecuteAfterNewerOnesAreHarmless(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.schedule(4000, () -> cluster.lateTransactionProbability = 0.25);
    List<Job> jobs = submitChurn(cluster, seed);
    cluster.schedule(20_000 + 100 * seed, () -> crashLeader(cluster, 2500));
    cluster.schedule(36_000 + 300 * seed, () -> crashLeader(cluster, 300));
    cluster.run(70);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  private static void crashLeader(SimulatedCluster cluster, long durationMs) {
    if (cluster.leader() != null) {
      cluster.crashNode(cluster.leader(), durationMs);
    }
  }

  /** Machines boot in 0.3 s and get work while transactions are late and the leader crashes. */
  @ParameterizedTest
  @ValueSource(ints = {0, 100, 200, 400, 700, 1000, 1500, 2000, 2500, 3000, 4000, 6000})
  void tasksStartOnNewMachinesWhileTransactionsAreLate(int crashAfterMs) {
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

  /** Messages that arrive twice or late, also from an earlier incarnation, take effect once. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void duplicatedAndDelayedMessagesTakeEffectOnce(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.duplicateProbability = 0.2;
    cluster.delayProbability = 0.05;
    cluster.repeatedHeartbeatProbability = 0.1;
    cluster.lostStoreReplyProbability = 0.05;
    List<Job> jobs = submitChurn(cluster, seed);
    cluster.run(80);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    assertEquals(
        0, cluster.checker.startsAfterCancellation, "tasks started after their job was cancelled");
  }
}
