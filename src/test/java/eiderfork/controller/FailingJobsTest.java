package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.TaskId;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests jobs with a fault of their own, which fail on every machine until they are cancelled. */
class FailingJobsTest {
  private final SimulatedCluster cluster = new SimulatedCluster(11);

  @AfterEach
  void assertNoViolations() {
    assertEquals(List.of(), cluster.checker.violations);
  }

  private Job submit(Job job) {
    cluster.submit(job);
    return job;
  }

  private Job submitFailingArray(int number, int tasks) {
    Job job = TestFixtures.job(number, JobKind.ARRAY, tasks, 0);
    cluster.failingJobs.add(job.uid());
    return submit(job);
  }

  private List<String> busyMachines() {
    return cluster.workers().stream()
        .filter(worker -> !worker.taskIds().isEmpty())
        .map(worker -> worker.machine.name())
        .toList();
  }

  private int startCount() {
    return cluster.checker.startCount;
  }

  /**
   * When the first tasks of two failing jobs ran on the same machine, it was returned to the cloud
   * with everything else that ran on it.
   */
  @Test
  void severalFailingJobsDoNotMarkABusyMachineFaulty() {
    cluster.cloud.defaultStock = 1;
    Job healthyService = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 1));
    cluster.run(20);
    List<String> machinesBefore = busyMachines();
    for (int i = 2; i <= 4; i++) {
      submitFailingArray(i, 1);
    }
    cluster.run(30);
    assertEquals(4, cluster.checker.runningTasks(healthyService.uid()));
    assertEquals(machinesBefore, busyMachines(), "machines that run tasks");
  }

  /**
   * Eight tasks that failed at the same time on one machine counted as eight tries, which delayed
   * the job by 32 s.
   */
  @Test
  void failuresOnOneFaultyMachineDoNotDelayTheJobElsewhere() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 4));
    cluster.run(20);
    String faultyMachine = cluster.workers().get(0).machine.name();
    cluster.failingMachines.add(faultyMachine);
    Job array = submit(TestFixtures.job(2, JobKind.ARRAY, 8, 0));
    cluster.run(25);
    assertTrue(cluster.checker.allTasksCompleted(array.uid()));
  }

  @Test
  void failingJobIsRetriedOneTaskAtATimeWithGrowingBackoff() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 8, 2));
    cluster.run(30);
    submitFailingArray(2, 40);
    cluster.run(30);
    int startsBefore = startCount();
    cluster.run(120);
    // Each try takes 5 s, and the backoff grows to 32 s. Trying 40 tasks at a time caused
    // hundreds of starts.
    assertTrue(
        startCount() - startsBefore <= 12, startCount() - startsBefore + " starts in two minutes");
  }

  @Test
  void failingJobDoesNotScaleOutAfterItsFirstTries() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(20);
    Job failingJob = submitFailingArray(2, 60);
    cluster.run(60);
    int rentedBefore = cluster.cloud.hosts().size();
    cluster.run(200);
    assertEquals(
        rentedBefore,
        cluster.cloud.hosts().size(),
        "machines were rented again for the failing job");
    cluster.cancel(failingJob.uid());
    cluster.run(5);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(failingJob.uid()));
  }

  /** A new leader does not know the earlier failures, and used to start all tasks again. */
  @Test
  void failoverDoesNotRestartAllTasksOfAFailingJob() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 8, 2));
    cluster.run(30);
    submitFailingArray(2, 40);
    cluster.run(70);
    int startsBefore = startCount();
    for (int i = 0; i < 4; i++) {
      cluster.crashNode(cluster.leader(), 3000);
      cluster.run(20);
    }
    assertTrue(
        startCount() - startsBefore <= 16,
        startCount() - startsBefore + " starts during four failovers");
  }

  /** The leader crashes while the tasks of a try run or have just failed. */
  @Test
  void failoverDuringATryLeavesNothingRunning() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    cluster.run(20);
    Job failingJob = submitFailingArray(2, 6);
    for (int i = 0; i < 6; i++) {
      cluster.run(3.7);
      cluster.crashNode(cluster.leader(), 2000);
    }
    cluster.run(10);
    cluster.cancel(failingJob.uid());
    cluster.run(10);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(failingJob.uid()));
    assertEquals(0, cluster.checker.runningTasks(failingJob.uid()));
  }

  /** Tasks that fail on every machine delay neither the other tasks of the job nor each other. */
  @Test
  void jobWithSomeFailingTasksCompletesTheOthers() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 3, 2));
    cluster.run(20);
    Job array = TestFixtures.job(2, JobKind.ARRAY, 30, 0);
    for (int index = 0; index < 4; index++) {
      cluster.failingTasks.add(new TaskId(array.uid(), index));
    }
    submit(array);
    cluster.run(60);
    assertEquals(26, cluster.checker.completedTasks(array.uid()));
    cluster.failingTasks.clear();
    cluster.run(60);
    assertTrue(cluster.checker.allTasksCompleted(array.uid()));
  }

  /**
   * Failures that seemed to be the fault of the job were those of two machines, as the success of
   * its trial task shows.
   */
  @Test
  void suspectedJobResumesOnceATaskSucceeds() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 3, 2));
    cluster.run(20);
    Job failingJob = submitFailingArray(2, 24);
    cluster.run(60);
    assertFalse(cluster.checker.allTasksCompleted(failingJob.uid()));
    cluster.failingJobs.clear();
    cluster.run(60);
    assertTrue(cluster.checker.allTasksCompleted(failingJob.uid()));
  }
}
