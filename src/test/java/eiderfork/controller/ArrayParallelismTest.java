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

/** Tests how many machines an array of thousands of short tasks gets, and that it completes. */
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
   * Capacity for all tasks at once takes 94 machines. That many were once rented, and they were
   * idle after the array had completed.
   */
  @Test
  void arrayOfShortTasksGetsCapacityForWavesOfTasks() {
    SimulatedCluster cluster = new SimulatedCluster(5, settings(400));
    cluster.cloud.defaultStock = 100;
    cluster.submit(array(1));
    cluster.run(30);
    assertTrue(cluster.cloud.hosts().size() <= 8, cluster.cloud.hosts().size() + " machines");
    cluster.run(200);
    assertTrue(cluster.checker.allTasksCompleted(array(1).uid()));
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** Two leader crashes while the array runs lose no task and repeat no work. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void twoLeaderCrashesLoseAndRepeatNoWork(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, settings(400));
    cluster.cloud.defaultStock = 6;
    cluster.submit(array(1));
    cluster.schedule(17_300 + seed * 170, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.schedule(41_000 + seed * 230, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(25);
    int completedEarly = cluster.checker.completedTasks(array(1).uid());
    assertTrue(completedEarly > 100, completedEarly + " tasks completed");
    cluster.run(200);
    assertTrue(cluster.checker.allTasksCompleted(array(1).uid()));
    assertTrue(cluster.isDoneInStore(array(1)));
    // Tasks whose completion is not in the store yet start again, and end at once with their
    // result.
    assertTrue(
        cluster.checker.startCount < TASKS + TASKS / 5, cluster.checker.startCount + " starts");
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** The store's limit for the size of a value is halved, and machines fail during the array. */
  @Test
  void arrayCompletesWithHalvedValueLimitWhileMachinesFail() {
    Settings base = settings(400);
    Settings.StoreLimits limits = base.storeLimits();
    Settings.StoreLimits halvedLimits =
        new Settings.StoreLimits(
            limits.requestsPerS(), limits.writesPerS(), 2, limits.transactionOps());
    SimulatedCluster cluster =
        new SimulatedCluster(9, TestFixtures.withNextLimits(base, halvedLimits));
    cluster.cloud.defaultStock = 6;
    cluster.submit(array(1));
    cluster.schedule(
        10_000, () -> cluster.store.lowerLimits(2, limits.writesPerS(), cluster.nowMs));
    for (int i = 0; i < 4; i++) {
      cluster.schedule(
          20_000 + i * 9000L, () -> cluster.failMachine(cluster.workers().get(0).machine.name()));
    }
    cluster.run(300);
    assertTrue(cluster.checker.allTasksCompleted(array(1).uid()));
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** An array whose tasks take much of the time of its objective gets capacity for all of them. */
  @Test
  void arrayOfLongTasksGetsCapacityForAllTasks() {
    SimulatedCluster cluster = new SimulatedCluster(6, settings(20));
    Job job = TestFixtures.job(1, JobKind.ARRAY, 40, 0);
    cluster.submit(job);
    cluster.run(25);
    assertTrue(cluster.checker.allTasksCompleted(job.uid()));
    assertTrue(
        cluster.cloud.hosts().size() >= 5,
        "there was capacity only to run the tasks one after the other");
  }
}
