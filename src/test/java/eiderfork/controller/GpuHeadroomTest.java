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
    SimulatedCluster world = new SimulatedCluster(seed);
    world.cloud.stock.put(new MachineKind("g4", "a", false), machines);
    world.cloud.stock.put(new MachineKind("g4", "b", false), 0);
    world.cloud.stock.put(new MachineKind("g4", "a", true), 0);
    world.cloud.stock.put(new MachineKind("g4", "b", true), 0);
    return world;
  }

  private static Job array(int number, int tasks, Resources demand, double runS) {
    Job template = TestFixtures.job(number, JobKind.ARRAY, tasks, 0);
    return TestFixtures.sized(
        TestFixtures.withPriority(template, Priority.LOW), demand, runS, "g4");
  }

  /**
   * An array without GPUs once used the CPUs of 132 free GPUs, for which arrays of the same
   * priority waited for minutes: work is not preempted for work of its own priority.
   */
  @Test
  void cpuArraysLeaveTheCpusToArraysThatWaitForGpus() {
    SimulatedCluster world = clusterWithGpuMachines(3, 2);
    Job first = array(1, 8, new Resources(3, 1, 4), 20);
    world.submit(first);
    world.run(14);
    // All GPUs are in use; more GPU work is pending, and an array without GPUs comes.
    Job gpuArray = array(2, 8, new Resources(3, 1, 4), 20);
    world.submit(gpuArray);
    Job cpuArray = array(3, 40, new Resources(2, 0, 2), 60);
    world.submit(cpuArray);
    world.run(45);
    assertTrue(world.checker.isDone(first.uid()));
    assertEquals(
        8, world.checker.running(gpuArray.uid()) + world.checker.completed(gpuArray.uid()));
    assertTrue(world.checker.running(cpuArray.uid()) > 0, "it has what no other job needs");
    assertEquals(List.of(), world.checker.breaches);
  }

  /** Small tasks that came later once used the CPUs that a large task still lacked. */
  @Test
  void cpuArraysDoNotUseWhatPendingGpuWorkStillLacks() {
    SimulatedCluster world = clusterWithGpuMachines(5, 1);
    world.submit(array(1, 4, new Resources(2, 0, 2), 20));
    world.run(14);
    Job gpuArray = array(2, 1, new Resources(12, 4, 4), 10);
    world.submit(gpuArray);
    world.run(1);
    Job cpuArray = array(3, 8, new Resources(1, 0, 1), 100);
    world.submit(cpuArray);
    world.run(35);
    assertTrue(world.checker.isDone(gpuArray.uid()), "it waited for the other array");
    assertEquals(List.of(), world.checker.breaches);
  }

  /** While no GPU work is pending, every job may use the CPUs. */
  @Test
  void cpuArraysUseTheCpusWhereNoGpuWorkIsPending() {
    SimulatedCluster world = clusterWithGpuMachines(4, 1);
    world.submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    world.run(14);
    Job cpuArray = array(3, 7, new Resources(2, 0, 2), 10);
    world.submit(cpuArray);
    world.run(30);
    assertTrue(world.checker.isDone(cpuArray.uid()));
  }
}
