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

/** Jobs that were submitted with a mistake and fail on every machine until they are cancelled. */
class FailingJobsTest {
  private final SimulatedCluster cluster = new SimulatedCluster(11);

  @AfterEach
  void assertNoBreaches() {
    assertEquals(List.of(), cluster.checker.violations);
  }

  private Job submit(Job job) {
    cluster.submit(job);
    return job;
  }

  private Job failing(int number, int tasks) {
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

  private int starts() {
    return cluster.checker.startCount;
  }

  /** Two such jobs came to the same machine first, and it was returned with all that ran there. */
  @Test
  void severalFailingJobsDoNotMarkABusyMachineFaulty() {
    cluster.cloud.defaultStock = 1;
    Job good = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 1));
    cluster.run(20);
    List<String> hosts = busyMachines();
    for (int i = 2; i <= 4; i++) {
      failing(i, 1);
    }
    cluster.run(30);
    assertEquals(4, cluster.checker.runningTasks(good.uid()));
    assertEquals(hosts, busyMachines(), "its machine was given up");
  }

  /** Eight tasks that failed together on one machine counted as eight tries: 32 s of delay. */
  @Test
  void failuresOnOneFaultyMachineDoNotDelayTheJobElsewhere() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 4));
    cluster.run(20);
    String bad = cluster.workers().get(0).machine.name();
    cluster.failingMachines.add(bad);
    Job array = submit(TestFixtures.job(2, JobKind.ARRAY, 8, 0));
    cluster.run(25);
    assertTrue(cluster.checker.allTasksCompleted(array.uid()));
  }

  @Test
  void failingJobIsTriedOneTaskAtATimeWithGrowingBackoff() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 8, 2));
    cluster.run(30);
    failing(2, 40);
    cluster.run(30);
    int before = starts();
    cluster.run(120);
    // Each try takes 5 s and waits for 32 s at last; 40 tasks at a time were hundreds of starts.
    assertTrue(starts() - before <= 12, starts() - before + " starts in two minutes");
  }

  @Test
  void failingJobDoesNotScaleOutAfterItsFirstTries() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(20);
    Job bad = failing(2, 60);
    cluster.run(60);
    int rented = cluster.cloud.hosts().size();
    cluster.run(200);
    assertEquals(rented, cluster.cloud.hosts().size(), "machines were rented for it again");
    cluster.cancel(bad.uid());
    cluster.run(5);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(bad.uid()));
  }

  /** A new leader knows nothing of the failures; it used to begin with all tasks again. */
  @Test
  void failoverDoesNotRestartAllTasksOfAFailingJob() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 8, 2));
    cluster.run(30);
    failing(2, 40);
    cluster.run(70);
    int before = starts();
    for (int i = 0; i < 4; i++) {
      cluster.crashNode(cluster.leader(), 3000);
      cluster.run(20);
    }
    assertTrue(starts() - before <= 16, starts() - before + " starts over four takeovers");
  }

  /** The leader ends while the tasks of a try are under way or have just failed. */
  @Test
  void failoverDuringATryLeavesNothingRunning() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    cluster.run(20);
    Job bad = failing(2, 6);
    for (int i = 0; i < 6; i++) {
      cluster.run(3.7);
      cluster.crashNode(cluster.leader(), 2000);
    }
    cluster.run(10);
    cluster.cancel(bad.uid());
    cluster.run(10);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(bad.uid()));
    assertEquals(0, cluster.checker.runningTasks(bad.uid()));
  }

  /** Some tasks that fail everywhere hold up neither the others nor each other. */
  @Test
  void aJobWithSomeFailingTasksFinishesTheOthers() {
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

  /** What looked like a mistake was the fault of two machines, as the trial task shows. */
  @Test
  void suspectedJobResumesOnceATaskSucceeds() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 3, 2));
    cluster.run(20);
    Job bad = failing(2, 24);
    cluster.run(60);
    assertFalse(cluster.checker.allTasksCompleted(bad.uid()));
    cluster.failingJobs.clear();
    cluster.run(60);
    assertTrue(cluster.checker.allTasksCompleted(bad.uid()));
  }
}
