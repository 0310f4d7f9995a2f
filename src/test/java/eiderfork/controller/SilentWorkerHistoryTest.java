package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.config.Settings;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineKind;
import eiderfork.model.Priority;
import eiderfork.model.TaskId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Heartbeats of workers reach the leader late or not at all, for half a lease to two leases, while
 * direct commands still reach the workers. {@link IncarnationLeaseExpiryTest} describes the fault
 * that this once caused. Five controllers run in two zones, and machines cache their images, so
 * that a task starts as soon as its command arrives.
 *
 * <p>The system properties {@code silences.from} and {@code silences.to} select other seeds.
 */
class SilentWorkerHistoryTest {
  private static final int NODE_COUNT = 5;
  private static final int JOB_COUNT = 160;
  private static final int WORKER_ISOLATION_COUNT = 8;
  private static final int FAULT_COUNT = 6;
  private static final int FAULT_PERIOD_MS = 90_000;
  private static final int RECOVERY_PERIOD_S = 30;

  static LongStream seeds() {
    return LongStream.rangeClosed(
        Long.getLong("silences.from", 1), Long.getLong("silences.to", 40));
  }

  static SimulatedCluster newCluster(long seed) {
    return newCluster(seed, TestFixtures.settings("roost-0"));
  }

  private static SimulatedCluster newCluster(long seed, Settings settings) {
    SimulatedCluster cluster = new SimulatedCluster(seed, settings, NODE_COUNT);
    cluster.cachesImages = true;
    return cluster;
  }

  /** Returns settings that vary with the seed: lease lengths, lending and the standby. */
  private static Settings settings(long seed) {
    Settings leaseSettings =
        seed % 3 == 0 ? TestFixtures.longLeaseSettings() : TestFixtures.settings("roost-0");
    Settings lendingSettings = TestFixtures.withLending(leaseSettings, seed % 2 == 0);
    return TestFixtures.withStandbys(lendingSettings, seed % 5 == 0 ? 1 : 0);
  }

  private static Job replica(int number) {
    return TestFixtures.job(number, JobKind.SERVICE, 1, 1);
  }

  /**
   * Replays the incident: heartbeats of a worker are delayed until its lease has nearly expired and
   * then lost, while commands still reach it. It loses its tasks with the lease and restarts them
   * in a new incarnation. They may start elsewhere only once the lease of that one has expired,
   * too.
   */
  @ParameterizedTest
  @ValueSource(ints = {7500, 7900, 8300, 8700, 9000, 9200, 9400})
  void tasksRestartedAfterALeaseExpiredRunOnOneMachine(int holdMs) {
    SimulatedCluster cluster = newCluster(5);
    cluster.cloud.defaultStock = 0;
    cluster.cloud.stockByKind.put(new MachineKind("g4", "a", false), 1);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "b", false), 1);
    for (int i = 1; i <= 6; i++) {
      cluster.submit(replica(i));
    }
    cluster.run(30);
    List<FakeWorker> workersByTaskCount = new ArrayList<>(cluster.workers());
    workersByTaskCount.sort(Comparator.comparing(worker -> worker.taskIds().size()));
    FakeWorker silentWorker = workersByTaskCount.get(0);
    FakeWorker fullWorker = workersByTaskCount.get(1);
    assertEquals(2, silentWorker.taskIds().size());
    assertEquals(4, fullWorker.taskIds().size());

    long previousHeartbeatMs = silentWorker.lastSentMs;
    while (silentWorker.lastSentMs == previousHeartbeatMs || silentWorker.awaitingResponse) {
      cluster.run(0.01);
    }
    String name = silentWorker.machine.name();
    long heartbeatAgeMs = cluster.nowMs - silentWorker.lastSentMs;
    cluster.holdHeartbeats(name, holdMs - heartbeatAgeMs);
    cluster.schedule(
        holdMs + 100 - heartbeatAgeMs,
        () -> cluster.blockHeartbeats(name, cluster.leader(), 20_000));
    cluster.schedule(holdMs + 400 - heartbeatAgeMs, () -> cluster.submit(replica(7)));
    cluster.schedule(10_300 - heartbeatAgeMs, () -> cluster.submit(replica(8)));
    List<TaskId> otherTasks = List.copyOf(fullWorker.taskIds());
    cluster.schedule(
        16_900 - heartbeatAgeMs, () -> otherTasks.forEach(task -> cluster.cancel(task.jobUid())));
    cluster.run(16);
    assertEquals(2, silentWorker.incarnation());
    assertEquals(4, silentWorker.taskIds().size(), "tasks restarted in the new incarnation");
    cluster.run(14);
    ExpectedOutcome.assertNoViolations(cluster);
    assertEquals(4, fullWorker.taskIds().size(), "tasks moved to the other worker");
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsOnTwoMachines(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    play(cluster, seed);
    assertNoViolationsAndTasksStarted(cluster);
  }

  /** Plays the history of this seed without faults of controllers, and returns the jobs. */
  static List<Job> play(SimulatedCluster cluster, long seed) {
    return play(cluster, seed, new Random(seed * 41));
  }

  /**
   * Leaders also crash, are isolated or suspended, zones lose their connection and workers hang.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsOnTwoMachinesWhileLeadersChange(long seed) {
    SimulatedCluster cluster = newVariedCluster(seed);
    playWithFaults(cluster, seed);
    assertNoViolationsAndTasksStarted(cluster);
  }

  /** Creates a cluster whose settings vary with the seed. */
  static SimulatedCluster newVariedCluster(long seed) {
    return newCluster(seed, settings(seed));
  }

  /** Plays the history of this seed with faults that change the leader, and returns the jobs. */
  static List<Job> playWithFaults(SimulatedCluster cluster, long seed) {
    Random script = new Random(seed * 43);
    for (int i = 0; i < FAULT_COUNT; i++) {
      cluster.schedule(8000 + script.nextInt(FAULT_PERIOD_MS), () -> injectFault(cluster, script));
    }
    return play(cluster, seed, script);
  }

  private static List<Job> play(SimulatedCluster cluster, long seed, Random script) {
    List<Job> jobs = new ArrayList<>();
    cluster.cloud.defaultStock = 1;
    cluster.storeDelayMs = seed % 4 * 70L;
    cluster.commandDelayMs = seed % 3 * 150L;
    cluster.delayProbability = seed % 5 * 0.004;
    cluster.lateTransactionProbability = seed % 2 * 0.02;
    cluster.repeatedHeartbeatProbability = seed % 7 * 0.05;
    for (int i = 1; i <= JOB_COUNT; i++) {
      Job job = job(script, i);
      jobs.add(job);
      long submitMs = script.nextInt(FAULT_PERIOD_MS);
      cluster.schedule(submitMs, () -> cluster.submit(job));
      if (job.kind() == JobKind.SERVICE) {
        cluster.schedule(
            submitMs + 10_000 + script.nextInt(40_000), () -> cluster.cancel(job.uid()));
      }
    }
    for (int i = 0; i < WORKER_ISOLATION_COUNT; i++) {
      cluster.schedule(
          8000 + script.nextInt(FAULT_PERIOD_MS), () -> isolateWorker(cluster, script));
    }
    cluster.run(FAULT_PERIOD_MS / 1000.0 + RECOVERY_PERIOD_S);
    return jobs;
  }

  private static void assertNoViolationsAndTasksStarted(SimulatedCluster cluster) {
    ExpectedOutcome.assertNoViolations(cluster);
    assertTrue(cluster.checker.startCount > JOB_COUNT);
  }

  private static String leader(SimulatedCluster cluster) {
    return cluster.leader() == null ? "roost-0" : cluster.leader();
  }

  private static void injectFault(SimulatedCluster cluster, Random script) {
    String leader = leader(cluster);
    long durationMs = 2000 + script.nextInt(12_000);
    switch (script.nextInt(6)) {
      case 0 -> cluster.crashNode(leader, 500 + script.nextInt(4000));
      case 1 -> cluster.splitZones(durationMs);
      case 2 -> cluster.freezeNode(leader, durationMs);
      case 3 -> cluster.isolateNode(leader, durationMs);
      case 4 -> cluster.cutLink(leader + ">state", durationMs);
      default -> {
        List<FakeWorker> workers = cluster.workers();
        if (!workers.isEmpty()) {
          FakeWorker worker = workers.get(script.nextInt(workers.size()));
          worker.isHanging = true;
          cluster.schedule(durationMs, () -> worker.isHanging = false);
        }
      }
    }
  }

  private static Job job(Random script, int number) {
    JobKind kind = script.nextInt(2) == 0 ? JobKind.SERVICE : JobKind.ARRAY;
    int tasks = 1 + script.nextInt(3);
    Priority priority = Priority.values()[script.nextInt(4)];
    Job job = TestFixtures.job(number, kind, tasks, 0, "blue", priority, false, false);
    return kind == JobKind.ARRAY
        ? TestFixtures.withRunTime(job, 3 + script.nextDouble() * 20)
        : job;
  }

  private static void isolateWorker(SimulatedCluster cluster, Random script) {
    List<FakeWorker> workers = cluster.workers();
    if (workers.isEmpty()) {
      return;
    }
    long leaseMs = (long) (cluster.settings.workerTimings().leaseS() * 1000);
    long durationMs = leaseMs / 2 + script.nextLong(leaseMs * 3 / 2);
    String name = workers.get(script.nextInt(workers.size())).machine.name();
    String leader = leader(cluster);
    switch (script.nextInt(6)) {
      case 0 -> cluster.cutLinksTo(name, durationMs);
      case 1 -> cluster.blockHeartbeats(name, leader, durationMs);
      case 2 -> cluster.blockHeartbeats(name, durationMs);
      default -> {
        long holdMs = leaseMs / 2 + script.nextLong(leaseMs / 2);
        cluster.holdHeartbeats(name, holdMs);
        cluster.schedule(holdMs + 100, () -> cluster.blockHeartbeats(name, leader, durationMs));
      }
    }
  }
}
