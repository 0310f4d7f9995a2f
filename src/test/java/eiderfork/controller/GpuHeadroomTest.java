package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Arrays without GPUs leave free GPUs the processors that GPU work takes. */
class GpuHeadroomTest {
  private static Job array(int number, int tasks, Resources demand, double runS) {
    Job template = TestFixtures.job(number, JobKind.ARRAY, tasks, 0);
    return TestFixtures.sized(
        TestFixtures.withPriority(template, Priority.LOW), demand, runS, "g4");
  }

  /**
   * A guest's idle work once took the processors of 132 free GPUs, for which arrays of the same
   * priority waited for minutes: what has started is not stopped for its equals.
   */
  @Test
  void idleWorkLeavesTheProcessorsToArraysThatWaitForGpus() {
    SimulatedCluster world = new SimulatedCluster(3);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "a", false), 2);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "b", false), 0);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "a", true), 0);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "b", true), 0);
    Job first = array(1, 8, new Resources(3, 1, 4), 20);
    world.submit(first);
    world.run(14);
    // All GPUs are taken: more GPU work waits, and guests come before there is room for it.
    Job waits = array(2, 8, new Resources(3, 1, 4), 20);
    world.submit(waits);
    Job guest = array(3, 40, new Resources(2, 0, 2), 60);
    world.submit(guest);
    world.run(45);
    assertTrue(world.checker.isDone(first.uid()));
    assertEquals(8, world.checker.running(waits.uid()) + world.checker.completed(waits.uid()));
    assertTrue(world.checker.running(guest.uid()) > 0, "the guest has what nobody needs");
    assertEquals(List.of(), world.checker.breaches);
  }

  /** Guests that came later took what the end of the earlier ones left too little without. */
  @Test
  void idleWorkDoesNotTakeWhatWaitingGpuWorkStillLacks() {
    SimulatedCluster world = new SimulatedCluster(5);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "a", false), 1);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "b", false), 0);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "a", true), 0);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "b", true), 0);
    world.submit(array(1, 4, new Resources(2, 0, 2), 20));
    world.run(14);
    Job waits = array(2, 1, new Resources(12, 4, 4), 10);
    world.submit(waits);
    world.run(1);
    Job guest = array(3, 8, new Resources(1, 0, 1), 100);
    world.submit(guest);
    world.run(35);
    assertTrue(world.checker.isDone(waits.uid()), "it waited for the guest");
    assertEquals(List.of(), world.checker.breaches);
  }

  /** While no GPU work waits, the processors are there for anybody. */
  @Test
  void idleWorkTakesThemWhereNoGpuWorkWaits() {
    SimulatedCluster world = new SimulatedCluster(4);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "a", false), 1);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "b", false), 0);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "a", true), 0);
    world.cloud.stock.put(new CloudProvisioner.MachineKind("g4", "b", true), 0);
    world.submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    world.run(14);
    Job guest = array(3, 7, new Resources(2, 0, 2), 10);
    world.submit(guest);
    world.run(30);
    assertTrue(world.checker.isDone(guest.uid()));
  }
}
