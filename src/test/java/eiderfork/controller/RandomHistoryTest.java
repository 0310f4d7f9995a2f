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

/** Random histories under every trouble that the protocol names; the rules hold in all. */
class RandomHistoryTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void rulesHoldAndWorkGetsDone(long seed) {
    rulesHold(new SimulatedCluster(seed), seed);
  }

  /** Reports that come seldom and leases that are long: users and workers wait no longer for it. */
  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24, 25, 26})
  void rulesHoldWhereReportsComeSeldom(long seed) {
    rulesHold(new SimulatedCluster(seed, TestFixtures.longLeaseSettings()), seed);
  }

  /** Troubles that meet: late and lost transactions, old reports, refusals before an outage. */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34, 35, 36, 37, 38, 39, 40, 41, 42, 43, 44, 45, 46})
  void rulesHoldWhereTroublesMeet(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    troublesMeet(world, seed);
    rulesHold(world, seed);
  }

  /** Has several kinds of trouble meet in a history that is not played yet. */
  static void troublesMeet(SimulatedCluster world, long seed) {
    Random script = new Random(seed * 37);
    world.lateWrites = 0.08;
    world.lostAnswers = 0.08;
    world.lateReports = 0.1;
    world.heartbeatsForNextLeader = 0.1;
    if (seed % 2 == 0) {
      world.lookCloselyAtNews(true);
    }
    world.commandsLateMs = seed % 3 * 700;
    for (int i = 0; i < 7; i++) {
      int kind = (i + (int) seed) % 7;
      world.at(12_000 + i * 11_000L + script.nextInt(8000), () -> meeting(world, script, kind));
    }
  }

  private static void meeting(SimulatedCluster world, Random script, int kind) {
    String node = "roost-" + script.nextInt(3);
    String leader = world.leader() == null ? node : world.leader();
    List<FakeWorker> workers = world.workers();
    switch (kind) {
      case 0 -> {
        world.refuse(leader, 12_000);
        world.at(1500, () -> world.state.outage(world.nowMs));
        world.at(20_000 + script.nextInt(15_000), () -> world.state.recover(world.nowMs));
      }
      case 1 -> world.isolate(leader, 10_000 + script.nextInt(15_000));
      case 2 -> world.freeze(leader, 1000 + script.nextInt(12_000));
      case 3 -> {
        for (int i = 0; i < 3; i++) {
          world.at(i * 4200L, () -> world.crash(leaderOr(world, node), 300));
        }
      }
      case 4 -> {
        workers.stream().limit(3).forEach(worker -> world.deafen(worker.machine.name(), 14_000));
        world.at(800, () -> world.crash(leaderOr(world, node), 3000));
      }
      case 5 -> {
        workers.stream().limit(3).forEach(worker -> world.mute(worker.machine.name(), 14_000));
        world.at(800, () -> world.crash(leaderOr(world, node), 3000));
      }
      default -> {
        world.stateDelayMs = 300;
        world.at(9000, () -> world.stateDelayMs = 0);
        world.holdNextReports(3000 + script.nextInt(9000));
        world.crash(leader, 2000);
      }
    }
  }

  private static String leaderOr(SimulatedCluster world, String node) {
    return world.leader() == null ? node : world.leader();
  }

  /** Plays the random history of this seed to its quiet end, and tells the jobs. */
  static List<Job> play(SimulatedCluster world, long seed) {
    Random script = new Random(seed * 31);
    world.loss = 0.01;
    world.late = 0.01;
    world.doubled = 0.02;
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
      world.at(script.nextInt(60_000), () -> world.submit(job));
      if (script.nextInt(3) == 0) {
        world.at(30_000 + script.nextInt(50_000), () -> world.abort(job.uid()));
      }
    }
    for (int i = 0; i < 14; i++) {
      int kind = i;
      world.at(10_000 + script.nextInt(80_000), () -> trouble(world, script, kind % 10));
    }
    for (int i = 0; i < 400; i++) {
      world.at(
          script.nextInt(180_000), () -> world.query("run-%06d".formatted(script.nextInt(26))));
    }
    world.run(110);
    world.quiet();
    world.run(110);
    return jobs;
  }

  private static void rulesHold(SimulatedCluster world, long seed) {
    List<Job> jobs = play(world, seed);
    assertEquals(List.of(), world.checker.breaches);
    assertTrue(world.checker.starts > 10);
    for (Job job : jobs) {
      world.query(job.uid());
    }
    world.run(2);
    assertEquals(List.of(), world.checker.breaches);
    for (Job job : jobs) {
      if (!world.checker.wasAccepted(job.uid()) || world.checker.finalStance(job.uid()) != null) {
        continue;
      }
      if (!job.team().equals("blue")) {
        continue;
      }
      // Without trouble for so long, what was accepted runs in full; the red team has a limit.
      assertEquals(JobKind.SERVICE, job.kind(), job::uid);
      assertEquals(job.tasks(), world.checker.running(job.uid()), job::uid);
    }
    assertTrue(jobs.stream().anyMatch(job -> world.checker.finalStance(job.uid()) == Phase.DONE));
  }

  private static void trouble(SimulatedCluster world, Random script, int kind) {
    String node = "roost-" + script.nextInt(3);
    String leader = world.leader() == null ? node : world.leader();
    List<FakeWorker> workers = world.workers();
    switch (kind) {
      case 0 -> world.crash(leader, 500 + script.nextInt(6000));
      case 1 -> {
        for (int i = 0; i < 3; i++) {
          world.crash("roost-" + i, 300 + script.nextInt(4000));
        }
      }
      case 2 -> world.cut(leader + ">state", 15_000);
      case 3 -> {
        world.cut("*>" + leader, 12_000);
        world.cut(leader + ">*", 12_000);
      }
      case 4 -> {
        for (int i = 0; i < 3; i++) {
          world.cut(leader + ">roost-" + i, 15_000);
          world.cut("roost-" + i + ">" + leader, 15_000);
        }
        world.cut(leader + ">state", 15_000);
        world.cut(leader + ">cloud", 15_000);
      }
      case 5 -> {
        world.state.outage(world.nowMs);
        world.at(14_000, () -> world.state.recover(world.nowMs));
      }
      case 6 -> {
        if (!workers.isEmpty()) {
          FakeWorker worker = workers.get(script.nextInt(workers.size()));
          worker.hanging = true;
          world.at(3000 + script.nextInt(20_000), () -> worker.hanging = false);
        }
      }
      case 7 -> {
        if (!workers.isEmpty()) {
          world.die(workers.get(script.nextInt(workers.size())).machine.name());
        }
      }
      case 8 -> {
        world.cloud.isDown = true;
        world.at(15_000, () -> world.cloud.isDown = false);
      }
      default -> {
        // Reports arrive, answers and commands do not.
        if (!workers.isEmpty()) {
          String name = workers.get(script.nextInt(workers.size())).machine.name();
          for (int i = 0; i < 3; i++) {
            world.cut("roost-" + i + ">" + name, 20_000);
          }
        }
      }
    }
  }
}
