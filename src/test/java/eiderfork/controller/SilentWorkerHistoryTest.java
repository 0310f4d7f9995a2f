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
 * Workers that reach the leader late or not at all, for half a lease to two leases, while direct
 * commands reach them: {@link IncarnationLeaseExpiryTest} tells what once came of it. Five
 * controllers stand in two zones, and machines keep their images, so that a task starts at once
 * where it is sent.
 *
 * <p>The properties {@code silences.from} and {@code silences.to} name other seeds.
 */
class SilentWorkerHistoryTest {
  private static final int NODES = 5;
  private static final int JOBS = 160;
  private static final int SILENCES = 8;
  private static final int TROUBLES = 6;
  private static final int TROUBLED_MS = 90_000;
  private static final int AFTERWARDS_S = 30;

  static LongStream seeds() {
    return LongStream.rangeClosed(
        Long.getLong("silences.from", 1), Long.getLong("silences.to", 40));
  }

  static SimulatedCluster newCluster(long seed) {
    return newCluster(seed, TestFixtures.settings("roost-0"));
  }

  private static SimulatedCluster newCluster(long seed, Settings settings) {
    SimulatedCluster cluster = new SimulatedCluster(seed, settings, NODES);
    cluster.cachesImages = true;
    return cluster;
  }

  /** Short and long leases, with and without lending and a standby. */
  private static Settings settings(long seed) {
    Settings figures =
        seed % 3 == 0 ? TestFixtures.longLeaseSettings() : TestFixtures.settings("roost-0");
    Settings lending = TestFixtures.withLending(figures, seed % 2 == 0);
    return TestFixtures.withStandbys(lending, seed % 5 == 0 ? 1 : 0);
  }

  private static Job replica(int number) {
    return TestFixtures.job(number, JobKind.SERVICE, 1, 1);
  }

  /**
   * The incident, by its instants: reports of a worker are held back until its lease is nearly over
   * and then lost, while commands still reach it. Its tasks are lost with the lease, start there
   * anew, and may start elsewhere only once the next incarnation's lease is over, too.
   */
  @ParameterizedTest
  @ValueSource(ints = {7500, 7900, 8300, 8700, 9000, 9200, 9400})
  void tasksThatStartedAnewAfterALapseAreInOnePlace(int heldMs) {
    SimulatedCluster cluster = newCluster(5);
    cluster.cloud.defaultStock = 0;
    cluster.cloud.stockByKind.put(new MachineKind("g4", "a", false), 1);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "b", false), 1);
    for (int i = 1; i <= 6; i++) {
      cluster.submit(replica(i));
    }
    cluster.run(30);
    List<FakeWorker> byTasks = new ArrayList<>(cluster.workers());
    byTasks.sort(Comparator.comparing(worker -> worker.taskIds().size()));
    FakeWorker silent = byTasks.get(0);
    FakeWorker full = byTasks.get(1);
    assertEquals(2, silent.taskIds().size());
    assertEquals(4, full.taskIds().size());

    long heardMs = silent.lastSentMs;
    while (silent.lastSentMs == heardMs || silent.awaitingResponse) {
      cluster.run(0.01);
    }
    String name = silent.machine.name();
    long sinceMs = cluster.nowMs - silent.lastSentMs;
    cluster.holdHeartbeats(name, heldMs - sinceMs);
    cluster.schedule(
        heldMs + 100 - sinceMs, () -> cluster.blockHeartbeats(name, cluster.leader(), 20_000));
    cluster.schedule(heldMs + 400 - sinceMs, () -> cluster.submit(replica(7)));
    cluster.schedule(10_300 - sinceMs, () -> cluster.submit(replica(8)));
    List<TaskId> others = List.copyOf(full.taskIds());
    cluster.schedule(16_900 - sinceMs, () -> others.forEach(task -> cluster.cancel(task.jobUid())));
    cluster.run(16);
    assertEquals(2, silent.incarnation());
    assertEquals(4, silent.taskIds().size(), "all started anew");
    cluster.run(14);
    ExpectedOutcome.assertNoViolations(cluster);
    assertEquals(4, full.taskIds().size(), "all moved on");
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskIsInTwoPlaces(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    play(cluster, seed);
    rulesHold(cluster);
  }

  /** Plays the history of this seed under one leader, and tells the jobs. */
  static List<Job> play(SimulatedCluster cluster, long seed) {
    return play(cluster, seed, new Random(seed * 41));
  }

  /** The same while leaders end, are cut off or stand still, zones split and machines hang. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskIsInTwoPlacesWhereLeadersChange(long seed) {
    SimulatedCluster cluster = newVariedCluster(seed);
    playWithFaults(cluster, seed);
    rulesHold(cluster);
  }

  /** Where the histories with changing leaders are played. */
  static SimulatedCluster newVariedCluster(long seed) {
    return newCluster(seed, settings(seed));
  }

  /** Plays the history of this seed with changing leaders, and tells the jobs. */
  static List<Job> playWithFaults(SimulatedCluster cluster, long seed) {
    Random script = new Random(seed * 43);
    for (int i = 0; i < TROUBLES; i++) {
      cluster.schedule(8000 + script.nextInt(TROUBLED_MS), () -> injectFault(cluster, script));
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
    for (int i = 1; i <= JOBS; i++) {
      Job job = job(script, i);
      jobs.add(job);
      long atMs = script.nextInt(TROUBLED_MS);
      cluster.schedule(atMs, () -> cluster.submit(job));
      if (job.kind() == JobKind.SERVICE) {
        cluster.schedule(atMs + 10_000 + script.nextInt(40_000), () -> cluster.cancel(job.uid()));
      }
    }
    for (int i = 0; i < SILENCES; i++) {
      cluster.schedule(8000 + script.nextInt(TROUBLED_MS), () -> isolateWorker(cluster, script));
    }
    cluster.run(TROUBLED_MS / 1000.0 + AFTERWARDS_S);
    return jobs;
  }

  private static void rulesHold(SimulatedCluster cluster) {
    ExpectedOutcome.assertNoViolations(cluster);
    assertTrue(cluster.checker.startCount > JOBS);
  }

  private static String leader(SimulatedCluster cluster) {
    return cluster.leader() == null ? "roost-0" : cluster.leader();
  }

  private static void injectFault(SimulatedCluster cluster, Random script) {
    String leader = leader(cluster);
    long forMs = 2000 + script.nextInt(12_000);
    switch (script.nextInt(6)) {
      case 0 -> cluster.crashNode(leader, 500 + script.nextInt(4000));
      case 1 -> cluster.splitZones(forMs);
      case 2 -> cluster.freezeNode(leader, forMs);
      case 3 -> cluster.isolateNode(leader, forMs);
      case 4 -> cluster.cutLink(leader + ">state", forMs);
      default -> {
        List<FakeWorker> workers = cluster.workers();
        if (!workers.isEmpty()) {
          FakeWorker worker = workers.get(script.nextInt(workers.size()));
          worker.isHanging = true;
          cluster.schedule(forMs, () -> worker.isHanging = false);
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
    long forMs = leaseMs / 2 + script.nextLong(leaseMs * 3 / 2);
    String name = workers.get(script.nextInt(workers.size())).machine.name();
    String leader = leader(cluster);
    switch (script.nextInt(6)) {
      case 0 -> cluster.cutLinksTo(name, forMs);
      case 1 -> cluster.blockHeartbeats(name, leader, forMs);
      case 2 -> cluster.blockHeartbeats(name, forMs);
      default -> {
        long heldMs = leaseMs / 2 + script.nextLong(leaseMs / 2);
        cluster.holdHeartbeats(name, heldMs);
        cluster.schedule(heldMs + 100, () -> cluster.blockHeartbeats(name, leader, forMs));
      }
    }
  }
}
