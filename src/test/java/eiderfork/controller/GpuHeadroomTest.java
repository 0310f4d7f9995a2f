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

/** Arrays without GPUs leave free GPUs the CPUs that GPU work needs. */
class GpuHeadroomTest {
  /** The cloud has this many machines of type {@code g4}, all of one zone and none of them spot. */
  private static SimulatedCluster clusterWithGpuMachines(long seed, int machines) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "a", false), machines);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "b", false), 0);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "a", true), 0);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "b", true), 0);
    return cluster;
  }

  private static Job array(int number, int tasks, Resources demand, double runS) {
    Job template = TestFixtures.job(number, JobKind.ARRAY, tasks, 0);
    return TestFixtures.withTaskShape(
        TestFixtures.withPriority(template, Priority.LOW), demand, runS, "g4");
  }

  /**
   * An array without GPUs once used the CPUs of 132 free GPUs, for which arrays of the same
   * priority waited for minutes: work is not preempted for work of its own priority.
   */
  @Test
  void cpuArraysLeaveTheCpusToArraysThatWaitForGpus() {
    SimulatedCluster cluster = clusterWithGpuMachines(3, 2);
    Job first = array(1, 8, new Resources(3, 1, 4), 20);
    cluster.submit(first);
    cluster.run(14);
    // All GPUs are in use; more GPU work is pending, and an array without GPUs comes.
    Job gpuArray = array(2, 8, new Resources(3, 1, 4), 20);
    cluster.submit(gpuArray);
    Job cpuArray = array(3, 40, new Resources(2, 0, 2), 60);
    cluster.submit(cpuArray);
    cluster.run(45);
    assertTrue(cluster.checker.allTasksCompleted(first.uid()));
    assertEquals(
        8,
        cluster.checker.runningTasks(gpuArray.uid())
            + cluster.checker.completedTasks(gpuArray.uid()));
    assertTrue(cluster.checker.runningTasks(cpuArray.uid()) > 0, "it has what no other job needs");
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** Small tasks that came later once used the CPUs that a large task still lacked. */
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
    assertTrue(cluster.checker.allTasksCompleted(gpuArray.uid()), "it waited for the other array");
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
