package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import eiderfork.config.Settings;
import eiderfork.config.Settings.Objective;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Arrays of thousands of short tasks: how many machines they get, and how they end. */
class ArrayParallelismTest {
  private static final int TASKS = 3000;

  private static Settings settings(double objectiveS) {
    Objective objective = new Objective(Objective.Kind.FINISHED, "batch", objectiveS, 1, 0.9);
    return TestFixtures.withObjectives(
        TestFixtures.settings("roost-0"), ImmutableList.of(objective));
  }

  private static Job array(int number) {
    Job template = TestFixtures.job(number, JobKind.ARRAY, TASKS, 0);
    return new Job(
        template.uid(),
        template.jobClass(),
        template.team(),
        template.kind(),
        Priority.LOW,
        TASKS,
        new Resources(0.25, 0, 0.5),
        ImmutableSet.of("c8"),
        null,
        false,
        false,
        true,
        "img",
        0.5,
        2,
        0,
        0,
        null);
  }

  /**
   * Capacity for all tasks at once would take 94 machines, which once stood idle after the array.
   */
  @Test
  void anArrayOfShortTasksIsPlannedInWaves() {
    SimulatedCluster world = new SimulatedCluster(5, settings(400));
    world.cloud.capacity = 100;
    world.submit(array(1));
    world.run(30);
    assertTrue(world.cloud.hosts().size() <= 8, world.cloud.hosts().size() + " machines");
    world.run(200);
    assertTrue(world.checker.isDone(array(1).uid()));
    assertEquals(List.of(), world.checker.breaches);
  }

  /** A leader that ends while the array runs, twice, loses and repeats nothing. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void twoLeaderCrashesLoseNothing(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed, settings(400));
    world.cloud.capacity = 6;
    world.submit(array(1));
    world.at(17_300 + seed * 170, () -> world.crash(world.leader(), 3000));
    world.at(41_000 + seed * 230, () -> world.crash(world.leader(), 3000));
    world.run(25);
    int early = world.checker.completed(array(1).uid());
    assertTrue(early > 100, early + " done");
    world.run(200);
    assertTrue(world.checker.isDone(array(1).uid()));
    assertTrue(world.committedDone(array(1)));
    // Tasks whose end is not written yet are started again, and end at once with their result.
    assertTrue(world.checker.starts < TASKS + TASKS / 5, world.checker.starts + " starts");
    assertEquals(List.of(), world.checker.breaches);
  }

  /** Half of the store limit, and machines that die while the array runs. */
  @Test
  void anArrayFinishesUnderHalfOfTheStoreLimitWhileMachinesDie() {
    Settings base = settings(400);
    Settings.StoreLimits limits = base.storeLimits();
    Settings.StoreLimits half =
        new Settings.StoreLimits(
            limits.requestsPerS(), limits.writesPerS(), 2, limits.transactionOps());
    SimulatedCluster world = new SimulatedCluster(9, TestFixtures.withNextLimits(base, half));
    world.cloud.capacity = 6;
    world.submit(array(1));
    world.at(10_000, () -> world.state.lowerLimits(2, limits.writesPerS(), world.nowMs));
    for (int i = 0; i < 4; i++) {
      world.at(20_000 + i * 9000L, () -> world.die(world.workers().get(0).machine.name()));
    }
    world.run(300);
    assertTrue(world.checker.isDone(array(1).uid()));
    assertEquals(List.of(), world.checker.breaches);
  }

  /** An array whose tasks take a good part of its objective gets capacity for all of them. */
  @Test
  void anArrayOfLongTasksIsPlannedAsAWhole() {
    SimulatedCluster world = new SimulatedCluster(6, settings(20));
    Job job = TestFixtures.job(1, JobKind.ARRAY, 40, 0);
    world.submit(job);
    world.run(25);
    assertTrue(world.checker.isDone(job.uid()));
    assertTrue(world.cloud.hosts().size() >= 5, "capacity for one after the other only");
  }
}
