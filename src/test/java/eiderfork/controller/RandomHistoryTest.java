package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random histories with every fault that the protocol tolerates; all invariants must hold. */
class RandomHistoryTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void noViolationsAndJobsAreServed(long seed) {
    playAndAssertOutcome(new SimulatedCluster(seed), seed);
  }

  /** Rare heartbeats and long leases must not make users and workers wait longer. */
  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24, 25, 26})
  void noViolationsWithLongLeases(long seed) {
    playAndAssertOutcome(new SimulatedCluster(seed, TestFixtures.longLeaseSettings()), seed);
  }

  /** Overlapping faults: late and lost transactions, old heartbeats, refusals before an outage. */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34, 35, 36, 37, 38, 39, 40, 41, 42, 43, 44, 45, 46})
  void noViolationsWithOverlappingFaults(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    scheduleOverlappingFaults(cluster, seed);
    playAndAssertOutcome(cluster, seed);
  }

  /** Schedules faults that overlap each other; called before the history is played. */
  static void scheduleOverlappingFaults(SimulatedCluster cluster, long seed) {
    Random script = new Random(seed * 37);
    cluster.lateTransactionProbability = 0.08;
    cluster.lostStoreReplyProbability = 0.08;
    cluster.repeatedHeartbeatProbability = 0.1;
    cluster.nextLeaderHeartbeatProbability = 0.1;
    if (seed % 2 == 0) {
      cluster.setProbesAfterNews(true);
    }
    cluster.commandDelayMs = seed % 3 * 700;
    for (int i = 0; i < 7; i++) {
      int kind = (i + (int) seed) % 7;
      cluster.schedule(
          12_000 + i * 11_000L + script.nextInt(8000),
          () -> injectOverlappingFault(cluster, script, kind));
    }
  }

  private static void injectOverlappingFault(SimulatedCluster cluster, Random script, int kind) {
    String node = "roost-" + script.nextInt(3);
    String leader = cluster.leader() == null ? node : cluster.leader();
    List<FakeWorker> workers = cluster.workers();
    switch (kind) {
      case 0 -> {
        cluster.refuseStoreRequests(leader, 12_000);
        cluster.schedule(1500, () -> cluster.store.startOutage(cluster.nowMs));
        cluster.schedule(
            20_000 + script.nextInt(15_000), () -> cluster.store.endOutage(cluster.nowMs));
      }
      case 1 -> cluster.isolateNode(leader, 10_000 + script.nextInt(15_000));
      case 2 -> cluster.freezeNode(leader, 1000 + script.nextInt(12_000));
      case 3 -> {
        for (int i = 0; i < 3; i++) {
          cluster.schedule(i * 4200L, () -> cluster.crashNode(leaderOrElse(cluster, node), 300));
        }
      }
      case 4 -> {
        workers.stream()
            .limit(3)
            .forEach(worker -> cluster.cutLinksTo(worker.machine.name(), 14_000));
        cluster.schedule(800, () -> cluster.crashNode(leaderOrElse(cluster, node), 3000));
      }
      case 5 -> {
        workers.stream()
            .limit(3)
            .forEach(worker -> cluster.cutLinksFrom(worker.machine.name(), 14_000));
        cluster.schedule(800, () -> cluster.crashNode(leaderOrElse(cluster, node), 3000));
      }
      default -> {
        cluster.storeDelayMs = 300;
        cluster.schedule(9000, () -> cluster.storeDelayMs = 0);
        cluster.delayNextHeartbeats(3000 + script.nextInt(9000));
        cluster.crashNode(leader, 2000);
      }
    }
  }

  private static String leaderOrElse(SimulatedCluster cluster, String node) {
    return cluster.leader() == null ? node : cluster.leader();
  }

  /** Plays the random history of this seed, ends all faults, and returns the jobs. */
  static List<Job> play(SimulatedCluster cluster, long seed) {
    Random script = new Random(seed * 31);
    cluster.lossProbability = 0.01;
    cluster.delayProbability = 0.01;
    cluster.duplicateProbability = 0.02;
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      JobKind kind = script.nextInt(3) == 0 ? JobKind.ARRAY : JobKind.SERVICE;
      Job job =
          TestFixtures.job(
              i,
              i % 8 == 7 ? JobKind.GANG : kind,
              1 + script.nextInt(5),
              script.nextInt(3),
              script.nextBoolean() ? "red" : "blue",
              Priority.values()[script.nextInt(4)],
              script.nextInt(4) == 0,
              script.nextBoolean());
      jobs.add(job);
      cluster.schedule(script.nextInt(60_000), () -> cluster.submit(job));
      if (script.nextInt(3) == 0) {
        cluster.schedule(30_000 + script.nextInt(50_000), () -> cluster.cancel(job.uid()));
      }
    }
    for (int i = 0; i < 14; i++) {
      int kind = i;
      cluster.schedule(
          10_000 + script.nextInt(80_000), () -> injectFault(cluster, script, kind % 10));
    }
    for (int i = 0; i < 400; i++) {
      cluster.schedule(
          script.nextInt(180_000),
          () -> cluster.queryRandomNode("run-%06d".formatted(script.nextInt(26))));
    }
    cluster.run(110);
    cluster.clearFaults();
    cluster.run(110);
    return jobs;
  }

  private static void playAndAssertOutcome(SimulatedCluster cluster, long seed) {
    List<Job> jobs = play(cluster, seed);
    assertEquals(List.of(), cluster.checker.violations);
    assertTrue(cluster.checker.startCount > 10);
    for (Job job : jobs) {
      cluster.queryRandomNode(job.uid());
    }
    cluster.run(2);
    assertEquals(List.of(), cluster.checker.violations);
    for (Job job : jobs) {
      if (!cluster.checker.wasAccepted(job.uid())
          || cluster.checker.finalPhase(job.uid()) != null) {
        continue;
      }
      if (!job.team().equals("blue")) {
        continue;
      }
      // So long after the last fault, accepted jobs run in full. The red team has a limit.
      assertEquals(JobKind.SERVICE, job.kind(), job::uid);
      assertEquals(job.tasks(), cluster.checker.runningTasks(job.uid()), job::uid);
    }
    assertTrue(jobs.stream().anyMatch(job -> cluster.checker.finalPhase(job.uid()) == Phase.DONE));
  }

  private static void injectFault(SimulatedCluster cluster, Random script, int kind) {
    String node = "roost-" + script.nextInt(3);
    String leader = cluster.leader() == null ? node : cluster.leader();
    List<FakeWorker> workers = cluster.workers();
    switch (kind) {
      case 0 -> cluster.crashNode(leader, 500 + script.nextInt(6000));
      case 1 -> {
        for (int i = 0; i < 3; i++) {
          cluster.crashNode("roost-" + i, 300 + script.nextInt(4000));
        }
      }
      case 2 -> cluster.cutLink(leader + ">state", 15_000);
      case 3 -> {
        cluster.cutLink("*>" + leader, 12_000);
        cluster.cutLink(leader + ">*", 12_000);
      }
      case 4 -> {
        for (int i = 0; i < 3; i++) {
          cluster.cutLink(leader + ">roost-" + i, 15_000);
          cluster.cutLink("roost-" + i + ">" + leader, 15_000);
        }
        cluster.cutLink(leader + ">state", 15_000);
        cluster.cutLink(leader + ">cloud", 15_000);
      }
      case 5 -> {
        cluster.store.startOutage(cluster.nowMs);
        cluster.schedule(14_000, () -> cluster.store.endOutage(cluster.nowMs));
      }
      case 6 -> {
        if (!workers.isEmpty()) {
          FakeWorker worker = workers.get(script.nextInt(workers.size()));
          worker.isHanging = true;
          cluster.schedule(3000 + script.nextInt(20_000), () -> worker.isHanging = false);
        }
      }
      case 7 -> {
        if (!workers.isEmpty()) {
          cluster.failMachine(workers.get(script.nextInt(workers.size())).machine.name());
        }
      }
      case 8 -> {
        cluster.cloud.isDown = true;
        cluster.schedule(15_000, () -> cluster.cloud.isDown = false);
      }
      default -> {
        // Heartbeats arrive at the nodes; their responses and direct commands are lost.
        if (!workers.isEmpty()) {
          String name = workers.get(script.nextInt(workers.size())).machine.name();
          for (int i = 0; i < 3; i++) {
            cluster.cutLink("roost-" + i + ">" + name, 20_000);
          }
        }
      }
    }
  }
}
