package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the cost of scheduling in a fleet of hundreds of machines by the number of machines that it
 * examines, not by time.
 */
class SchedulingWorkTest {
  private static final int JOBS = 150;
  private static final int TASKS = 16;

  @Test
  void examinedMachinesPerRoundGrowWithJobsTimesMachinesNotWithTasks() {
    SimulatedCluster cluster = new SimulatedCluster(3);
    cluster.cloud.defaultStock = 40;
    cluster.run(3);
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, TASKS, 1, "blue", Priority.HIGH, false, true);
      jobs.add(job);
      cluster.submit(job);
    }
    int maxExamined = 0;
    for (int i = 0; i < 800; i++) {
      cluster.run(0.05);
      for (Controller node : cluster.controllers.values()) {
        maxExamined = Math.max(maxExamined, node.totalMachineExaminations());
      }
    }
    long machines = cluster.cloud.liveHostCount();
    long running = jobs.stream().mapToLong(job -> cluster.checker.runningTasks(job.uid())).sum();
    assertTrue(machines >= 150, machines + " machines");
    // There are four kinds of the larger type with 40 machines each, and four tasks on a machine.
    assertEquals(4 * 40 * 4, running);
    // A round examines each machine once for each job, and one more for each task; a plan does the
    // same with the machines that it requests.
    long requestedMachines = JOBS * TASKS / 4;
    long bound = JOBS * (machines + requestedMachines) + 2 * JOBS * TASKS;
    assertTrue(maxExamined <= bound, maxExamined + " machines examined, more than " + bound);
    assertEquals(List.of(), cluster.checker.violations);
  }

  /**
   * When hundreds of services waited because the fleet was full, each round searched all machines
   * for replicas to migrate, for each task, and all other machines for each such replica. As a
   * result, the simulation of a day with 867 machines did not finish.
   */
  @Test
  void waitingJobsOfEqualSizeShareOneSearchOfAFullFleet() {
    SimulatedCluster cluster = new SimulatedCluster(4);
    cluster.cloud.defaultStock = 40;
    cluster.run(3);
    for (int i = 0; i < 40; i++) {
      cluster.submit(
          TestFixtures.job(i, JobKind.SERVICE, 16, 0, "blue", Priority.HIGH, false, false));
    }
    cluster.run(40);
    for (int i = 100; i < 400; i++) {
      cluster.submit(
          TestFixtures.job(i, JobKind.SERVICE, 8, 2, "blue", Priority.PRODUCTION, false, false));
    }
    cluster.run(40);
    long machines = cluster.cloud.liveHostCount();
    long waiting = 300 * 8 - cluster.checker.totalRunningTasks();
    assertTrue(
        machines >= 100 && waiting > 1000, machines + " machines, " + waiting + " waiting tasks");
    int maxExamined = 0;
    for (int i = 0; i < 200; i++) {
      cluster.run(0.05);
      for (Controller node : cluster.controllers.values()) {
        maxExamined = Math.max(maxExamined, node.roundMachineExaminations());
      }
    }
    assertTrue(
        maxExamined <= 20 * machines,
        maxExamined + " machines examined with " + machines + " machines");
    assertEquals(List.of(), cluster.checker.violations);
  }
}
