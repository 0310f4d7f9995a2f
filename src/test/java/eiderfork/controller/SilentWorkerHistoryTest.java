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

  static SimulatedCluster world(long seed) {
    return world(seed, TestFixtures.settings("roost-0"));
  }

  private static SimulatedCluster world(long seed, Settings settings) {
    SimulatedCluster world = new SimulatedCluster(seed, settings, NODES);
    world.imagesStay = true;
    return world;
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
    SimulatedCluster world = world(5);
    world.cloud.capacity = 0;
    world.cloud.stock.put(new MachineKind("g4", "a", false), 1);
    world.cloud.stock.put(new MachineKind("g4", "b", false), 1);
    for (int i = 1; i <= 6; i++) {
      world.submit(replica(i));
    }
    world.run(30);
    List<FakeWorker> byTasks = new ArrayList<>(world.workers());
    byTasks.sort(Comparator.comparing(worker -> worker.presentTasks().size()));
    FakeWorker silent = byTasks.get(0);
    FakeWorker full = byTasks.get(1);
    assertEquals(2, silent.presentTasks().size());
    assertEquals(4, full.presentTasks().size());

    long heardMs = silent.lastHeartbeatMs;
    while (silent.lastHeartbeatMs == heardMs || silent.awaitingResponse) {
      world.run(0.01);
    }
    String name = silent.machine.name();
    long sinceMs = world.nowMs - silent.lastHeartbeatMs;
    world.holdBack(name, heldMs - sinceMs);
    world.at(heldMs + 100 - sinceMs, () -> world.cutReports(name, world.leader(), 20_000));
    world.at(heldMs + 400 - sinceMs, () -> world.submit(replica(7)));
    world.at(10_300 - sinceMs, () -> world.submit(replica(8)));
    List<TaskId> others = List.copyOf(full.presentTasks());
    world.at(16_900 - sinceMs, () -> others.forEach(task -> world.abort(task.jobUid())));
    world.run(16);
    assertEquals(2, silent.incarnation());
    assertEquals(4, silent.presentTasks().size(), "all started anew");
    world.run(14);
    ExpectedOutcome.rulesHold(world);
    assertEquals(4, full.presentTasks().size(), "all moved on");
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskIsInTwoPlaces(long seed) {
    SimulatedCluster world = world(seed);
    play(world, seed);
    rulesHold(world);
  }

  /** Plays the history of this seed under one leader, and tells the jobs. */
  static List<Job> play(SimulatedCluster world, long seed) {
    return play(world, seed, new Random(seed * 41));
  }

  /** The same while leaders end, are cut off or stand still, zones split and machines hang. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskIsInTwoPlacesWhereLeadersChange(long seed) {
    SimulatedCluster world = changingWorld(seed);
    playWithChanges(world, seed);
    rulesHold(world);
  }

  /** Where the histories with changing leaders are played. */
  static SimulatedCluster changingWorld(long seed) {
    return world(seed, settings(seed));
  }

  /** Plays the history of this seed with changing leaders, and tells the jobs. */
  static List<Job> playWithChanges(SimulatedCluster world, long seed) {
    Random script = new Random(seed * 43);
    for (int i = 0; i < TROUBLES; i++) {
      world.at(8000 + script.nextInt(TROUBLED_MS), () -> injectFault(world, script));
    }
    return play(world, seed, script);
  }

  private static List<Job> play(SimulatedCluster world, long seed, Random script) {
    List<Job> jobs = new ArrayList<>();
    world.cloud.capacity = 1;
    world.stateDelayMs = seed % 4 * 70L;
    world.commandsLateMs = seed % 3 * 150L;
    world.late = seed % 5 * 0.004;
    world.lateWrites = seed % 2 * 0.02;
    world.lateReports = seed % 7 * 0.05;
    for (int i = 1; i <= JOBS; i++) {
      Job job = job(script, i);
      jobs.add(job);
      long atMs = script.nextInt(TROUBLED_MS);
      world.at(atMs, () -> world.submit(job));
      if (job.kind() == JobKind.SERVICE) {
        world.at(atMs + 10_000 + script.nextInt(40_000), () -> world.abort(job.uid()));
      }
    }
    for (int i = 0; i < SILENCES; i++) {
      world.at(8000 + script.nextInt(TROUBLED_MS), () -> isolateWorker(world, script));
    }
    world.run(TROUBLED_MS / 1000.0 + AFTERWARDS_S);
    return jobs;
  }

  private static void rulesHold(SimulatedCluster world) {
    ExpectedOutcome.rulesHold(world);
    assertTrue(world.checker.starts > JOBS);
  }

  private static String leader(SimulatedCluster world) {
    return world.leader() == null ? "roost-0" : world.leader();
  }

  private static void injectFault(SimulatedCluster world, Random script) {
    String leader = leader(world);
    long forMs = 2000 + script.nextInt(12_000);
    switch (script.nextInt(6)) {
      case 0 -> world.crash(leader, 500 + script.nextInt(4000));
      case 1 -> world.splitZones(forMs);
      case 2 -> world.freeze(leader, forMs);
      case 3 -> world.isolate(leader, forMs);
      case 4 -> world.cut(leader + ">state", forMs);
      default -> {
        List<FakeWorker> workers = world.workers();
        if (!workers.isEmpty()) {
          FakeWorker worker = workers.get(script.nextInt(workers.size()));
          worker.hanging = true;
          world.at(forMs, () -> worker.hanging = false);
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

  private static void isolateWorker(SimulatedCluster world, Random script) {
    List<FakeWorker> workers = world.workers();
    if (workers.isEmpty()) {
      return;
    }
    long leaseMs = (long) (world.settings.workerTimings().leaseS() * 1000);
    long forMs = leaseMs / 2 + script.nextLong(leaseMs * 3 / 2);
    String name = workers.get(script.nextInt(workers.size())).machine.name();
    String leader = leader(world);
    switch (script.nextInt(6)) {
      case 0 -> world.deafen(name, forMs);
      case 1 -> world.cutReports(name, leader, forMs);
      case 2 -> world.cutReports(name, forMs);
      default -> {
        long heldMs = leaseMs / 2 + script.nextLong(leaseMs / 2);
        world.holdBack(name, heldMs);
        world.at(heldMs + 100, () -> world.cutReports(name, leader, forMs));
      }
    }
  }
}
