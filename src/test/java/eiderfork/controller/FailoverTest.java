package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The lead changes hands while something else goes wrong. */
class FailoverTest {
  private static LongStream seeds() {
    return LongStream.rangeClosed(1, 8);
  }

  private static List<Job> services(SimulatedCluster world, int count) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      jobs.add(
          TestFixtures.job(
              i, JobKind.SERVICE, 2, 1, i % 2 == 0 ? "red" : "blue", Priority.HIGH, false, false));
    }
    jobs.forEach(world::submit);
    return jobs;
  }

  private static void crashLeader(SimulatedCluster world, long forMs) {
    if (world.leader() != null) {
      world.crash(world.leader(), forMs);
    }
  }

  /** Leaders change ten times in two minutes, also inside an outage. */
  @ParameterizedTest
  @MethodSource("seeds")
  void theLeadChangesTenTimesInTwoMinutes(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    List<Job> jobs = services(world, 5);
    for (int i = 0; i < 12; i++) {
      Job job = TestFixtures.job(10 + i, JobKind.ARRAY, 3, 1);
      jobs.add(job);
      world.at(5000 + i * 9000L, () -> world.submit(job));
      if (i % 3 == 0) {
        world.at(5600 + i * 9000L + 100 * seed, () -> world.abort(job.uid()));
      }
    }
    world.run(15);
    for (int i = 0; i < 10; i++) {
      world.at(i * 12_000L, () -> crashLeader(world, 200 + 400 * seed));
    }
    if (seed % 2 == 0) {
      world.at(30_000, () -> world.state.outage(world.nowMs));
      world.at(44_000, () -> world.state.recover(world.nowMs));
    }
    world.run(130);
    ExpectedOutcome.allServed(world, jobs);
  }

  /** Controllers hand over and back, all end, and one returns, also within a second. */
  @ParameterizedTest
  @ValueSource(ints = {100, 300, 600, 900, 1500, 3000, 8000, 13_000, 20_000})
  void allEndAndOneReturns(int awayMs) {
    SimulatedCluster world = new SimulatedCluster(3);
    List<Job> jobs = services(world, 5);
    Job cancelled = TestFixtures.job(20, JobKind.SERVICE, 3, 1);
    jobs.add(cancelled);
    world.submit(cancelled);
    world.run(25);
    crashLeader(world, 900);
    world.run(6);
    crashLeader(world, 900);
    world.run(5);
    world.at(50, () -> world.abort(cancelled.uid()));
    world.crash("roost-0", awayMs);
    world.at(30, () -> world.crash("roost-1", 30_000));
    world.at(90, () -> world.crash("roost-2", 30_000));
    world.run(50);
    ExpectedOutcome.allServed(world, jobs);
  }

  /** Jobs are cancelled in the seconds in which one controller's work changes hands. */
  @ParameterizedTest
  @ValueSource(ints = {0, 100, 500, 1500, 2500, 3000, 3200, 3300, 3400, 3500, 3600, 3800, 4200})
  void cancellationsWhileTheWorkChangesHands(int afterMs) {
    for (boolean frozen : new boolean[] {false, true}) {
      SimulatedCluster world = new SimulatedCluster(2);
      List<Job> jobs = services(world, 5);
      world.run(25);
      Job starting = TestFixtures.job(30, JobKind.ARRAY, 6, 1);
      jobs.add(starting);
      world.submit(starting);
      String old = world.leader();
      if (frozen) {
        world.freeze(old, 7000);
      } else {
        world.crash(old, 7000);
      }
      for (Job job : List.copyOf(jobs).subList(2, 6)) {
        world.at(afterMs, () -> world.abort(job.uid()));
      }
      world.run(40);
      ExpectedOutcome.allServed(world, jobs);
    }
  }

  /** A leader ends while machines with long tasks can't be reached, or don't hear its successor. */
  @ParameterizedTest
  @ValueSource(ints = {2000, 6000, 9000, 11_000, 14_000, 25_000})
  void machinesThatDoNotHearTheNewLeader(int forMs) {
    for (boolean deaf : new boolean[] {true, false}) {
      SimulatedCluster world = new SimulatedCluster(4);
      List<Job> jobs = services(world, 5);
      world.run(25);
      List<FakeWorker> workers = world.workers();
      for (FakeWorker worker : workers.subList(0, workers.size() / 2 + 1)) {
        if (deaf) {
          world.deafen(worker.machine.name(), forMs);
        } else {
          world.mute(worker.machine.name(), forMs);
        }
      }
      world.run(0.5);
      crashLeader(world, 3000);
      world.at(4500, () -> world.abort(jobs.get(0).uid()));
      world.run(60);
      ExpectedOutcome.allServed(world, jobs);
    }
  }

  /**
   * An older leader, cut from the store and its peers, renews the leases of machines that its
   * successor can't reach. None of their tasks starts elsewhere while that may go on.
   */
  @ParameterizedTest
  @ValueSource(ints = {12_000, 18_000, 25_000, 40_000})
  void leasesThatAnOlderLeaderRenewsDoNotCountAsLapsed(int forMs) {
    SimulatedCluster world = new SimulatedCluster(4);
    List<Job> jobs = services(world, 5);
    world.run(25);
    String old = world.leader();
    world.isolate(old, forMs);
    for (FakeWorker worker : world.workers()) {
      for (String node : world.all()) {
        if (!node.equals(old)) {
          world.cut(node + ">" + worker.machine.name(), forMs);
          world.cut(worker.machine.name() + ">" + node, forMs);
        }
      }
    }
    world.run(60);
    ExpectedOutcome.allServed(world, jobs);
  }

  /** Workers can't open connections to any controller, while direct commands still reach them. */
  @Test
  void machinesThatReachNobodyAreNotStartedOnTwice() {
    SimulatedCluster world = new SimulatedCluster(4);
    List<Job> jobs = services(world, 5);
    world.run(25);
    world.workers().forEach(worker -> world.mute(worker.machine.name(), 25_000));
    world.at(3000, () -> world.abort(jobs.get(0).uid()));
    world.run(60);
    ExpectedOutcome.allServed(world, jobs);
  }

  /** Jobs of two or three tasks end far apart across a change of leader. */
  @ParameterizedTest
  @ValueSource(ints = {0, 200, 500, 900, 1500, 2200, 3000})
  void tasksThatEndFarApart(int afterMs) {
    SimulatedCluster world = new SimulatedCluster(6);
    world.cloud.capacity = 1;
    world.cloud.stock.put(new MachineKind("g4", "b", false), 0);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      jobs.add(TestFixtures.job(i, JobKind.ARRAY, 3, 2));
    }
    jobs.forEach(world::submit);
    world.run(16);
    world.at(afterMs, () -> crashLeader(world, 2000));
    world.at(9000 + afterMs, () -> crashLeader(world, 2000));
    world.run(40);
    ExpectedOutcome.allServed(world, jobs);
  }

  /** A zone with workers and a controller is cut off for longer than a lease. */
  @ParameterizedTest
  @ValueSource(ints = {5000, 12_000, 25_000, 40_000})
  void aZoneIsCutOff(int forMs) {
    for (String inside : List.of("roost-0", "roost-1", "roost-2")) {
      SimulatedCluster world = new SimulatedCluster(5);
      List<Job> jobs = services(world, 6);
      Job spread = TestFixtures.job(20, JobKind.SERVICE, 4, 1, "blue", Priority.HIGH, true, false);
      jobs.add(spread);
      world.submit(spread);
      world.run(25);
      world.cutZone("b", inside, forMs);
      world.at(1000, () -> world.abort(jobs.get(0).uid()));
      world.run(60);
      ExpectedOutcome.allServed(world, jobs);
    }
  }

  /** Jobs bound to one zone, arrays too, lose machines. */
  @ParameterizedTest
  @MethodSource("seeds")
  void jobsBoundToOneZoneLoseMachines(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      jobs.add(inOneZone(i, i % 2 == 0 ? JobKind.ARRAY : JobKind.SERVICE, 4, i > 4 ? "b" : null));
    }
    jobs.forEach(world::submit);
    world.run(14);
    for (int i = 0; i < 4; i++) {
      world.at(
          i * 3000L,
          () -> {
            List<FakeWorker> workers = world.workers();
            if (workers.size() > 1) {
              world.die(workers.get(world.random.nextInt(workers.size())).machine.name());
            }
          });
    }
    world.at(5000, () -> crashLeader(world, 2000));
    world.run(60);
    ExpectedOutcome.allServed(world, jobs);
  }

  private static Job inOneZone(int number, JobKind kind, int tasks, String zone) {
    return new Job(
        "run-%06d".formatted(number),
        "bound",
        "blue",
        kind,
        Priority.HIGH,
        tasks,
        new Resources(1, 1, 4),
        ImmutableSet.of("g4"),
        zone,
        true,
        false,
        false,
        "img",
        1,
        kind == JobKind.SERVICE ? 0 : 12,
        0,
        0,
        null);
  }

  /** A store that answers slowly, or refuses one node, while users cancel and ask. */
  @ParameterizedTest
  @MethodSource("seeds")
  void aSlowStateServiceAndThenARefusal(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    List<Job> jobs = services(world, 6);
    world.run(25);
    world.stateDelayMs = 400;
    world.lookCloselyAtNews(true);
    world.at(3000, () -> world.abort(jobs.get(0).uid()));
    world.at(6000, () -> world.refuse(world.leader(), 9000));
    world.at(6000 + 300 * seed, () -> world.abort(jobs.get(1).uid()));
    world.at(8000, () -> world.state.outage(world.nowMs));
    world.at(43_000, () -> world.state.recover(world.nowMs));
    world.run(60);
    world.stateDelayMs = 0;
    ExpectedOutcome.allServed(world, jobs);
    assertTrue(world.checker.starts >= 12);
    assertEquals(0, world.checker.running(jobs.get(1).uid()));
  }
}
