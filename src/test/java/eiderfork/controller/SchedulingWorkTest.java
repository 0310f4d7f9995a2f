package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Counts the work of scheduling, without timing it, with a fleet of hundreds of machines. */
class SchedulingWorkTest {
  private static final int JOBS = 150;
  private static final int TASKS = 16;

  @Test
  void theWorkOfARoundGrowsWithJobsTimesMachinesAndNotWithTasks() {
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
    // Four kinds of the larger type, 40 machines each, with four tasks on a machine.
    assertEquals(4 * 40 * 4, running);
    // A round examines each machine once for a job and once more for a task, and a plan does so
    // with the machines that it requests.
    long wanted = JOBS * TASKS / 4;
    long bound = JOBS * (machines + wanted) + 2 * JOBS * TASKS;
    assertTrue(maxExamined <= bound, maxExamined + " examined of " + bound);
    assertEquals(List.of(), cluster.checker.violations);
  }

  /**
   * With hundreds of services that waited for a full fleet, every round once searched each machine
   * for replicas to migrate, for each task, and each other machine for each replica: a simulated
   * day of 867 machines did not end.
   */
  @Test
  void jobsOfOneSizeThatWaitForAFullFleetShareOneSearch() {
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
    assertTrue(machines >= 100 && waiting > 1000, machines + " machines, " + waiting + " wait");
    int maxExamined = 0;
    for (int i = 0; i < 200; i++) {
      cluster.run(0.05);
      for (Controller node : cluster.controllers.values()) {
        maxExamined = Math.max(maxExamined, node.roundMachineExaminations());
      }
    }
    assertTrue(
        maxExamined <= 20 * machines, maxExamined + " examined with " + machines + " machines");
    assertEquals(List.of(), cluster.checker.violations);
  }
}
