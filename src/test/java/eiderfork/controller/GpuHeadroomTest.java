package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that arrays without GPUs leave enough CPUs next to free GPUs for the work that needs both.
 */
class GpuHeadroomTest {
  /** Returns a cluster whose cloud has this many {@code g4} machines, in one zone and not spot. */
  private static SimulatedCluster clusterWithGpuMachines(long seed, int machines) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "a", false), machines);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "b", false), 0);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "a", true), 0);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "b", true), 0);
    return cluster;
  }

  private static Job array(int number, int tasks, Resources taskResources, double runS) {
    Job template = TestFixtures.job(number, JobKind.ARRAY, tasks, 0);
    return TestFixtures.withTaskShape(
        TestFixtures.withPriority(template, Priority.LOW), taskResources, runS, "g4");
  }

  /**
   * An array without GPUs once used the CPUs next to 132 free GPUs. Arrays of the same priority
   * waited for these GPUs for minutes, since work is not preempted for work of its own priority.
   */
  @Test
  void cpuArraysLeaveTheCpusToArraysThatWaitForGpus() {
    SimulatedCluster cluster = clusterWithGpuMachines(3, 2);
    Job runningGpuArray = array(1, 8, new Resources(3, 1, 4), 20);
    cluster.submit(runningGpuArray);
    cluster.run(14);
    // All GPUs are in use when more GPU work and then an array without GPUs are submitted.
    Job gpuArray = array(2, 8, new Resources(3, 1, 4), 20);
    cluster.submit(gpuArray);
    Job cpuArray = array(3, 40, new Resources(2, 0, 2), 60);
    cluster.submit(cpuArray);
    cluster.run(45);
    assertTrue(cluster.checker.allTasksCompleted(runningGpuArray.uid()));
    assertEquals(
        8,
        cluster.checker.runningTasks(gpuArray.uid())
            + cluster.checker.completedTasks(gpuArray.uid()));
    assertTrue(
        cluster.checker.runningTasks(cpuArray.uid()) > 0,
        "no task of the array without GPUs runs on CPUs that no other job needs");
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** Small tasks submitted later once took the CPUs for which a large GPU task was waiting. */
  @Test
  void cpuArraysDoNotUseWhatPendingGpuWorkStillLacks() {
    SimulatedCluster cluster = clusterWithGpuMachines(5, 1);
    cluster.submit(array(1, 4, new Resources(2, 0, 2), 20));
    cluster.run(14);
    Job gpuArray = array(2, 1, new Resources(12, 4, 4), 10);
    cluster.submit(gpuArray);
    cluster.run(1);
    Job cpuArray = array(3, 8, new Resources(1, 0, 1), 100);
    cluster.submit(cpuArray);
    cluster.run(35);
    assertTrue(
        cluster.checker.allTasksCompleted(gpuArray.uid()),
        "the GPU array waited for the array without GPUs");
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** While no GPU work is pending, every job may use the CPUs. */
  @Test
  void cpuArraysUseTheCpusWhereNoGpuWorkIsPending() {
    SimulatedCluster cluster = clusterWithGpuMachines(4, 1);
    cluster.submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(14);
    Job cpuArray = array(3, 7, new Resources(2, 0, 2), 10);
    cluster.submit(cpuArray);
    cluster.run(30);
    assertTrue(cluster.checker.allTasksCompleted(cpuArray.uid()));
  }
}
