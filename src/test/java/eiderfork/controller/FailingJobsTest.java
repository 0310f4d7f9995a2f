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
  private final SimulatedCluster world = new SimulatedCluster(11);

  @AfterEach
  void assertNoBreaches() {
    assertEquals(List.of(), world.checker.breaches);
  }

  private Job submit(Job job) {
    world.submit(job);
    return job;
  }

  private Job failing(int number, int tasks) {
    Job job = TestFixtures.job(number, JobKind.ARRAY, tasks, 0);
    world.badJobs.add(job.uid());
    return submit(job);
  }

  private List<String> busyMachines() {
    return world.workers().stream()
        .filter(worker -> !worker.presentTasks().isEmpty())
        .map(worker -> worker.machine.name())
        .toList();
  }

  private int starts() {
    return world.checker.starts;
  }

  /** Two such jobs came to the same machine first, and it was returned with all that ran there. */
  @Test
  void severalFailingJobsDoNotMarkABusyMachineFaulty() {
    world.cloud.capacity = 1;
    Job good = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 1));
    world.run(20);
    List<String> hosts = busyMachines();
    for (int i = 2; i <= 4; i++) {
      failing(i, 1);
    }
    world.run(30);
    assertEquals(4, world.checker.running(good.uid()));
    assertEquals(hosts, busyMachines(), "its machine was given up");
  }

  /** Eight tasks that failed together on one machine counted as eight tries: 32 s of delay. */
  @Test
  void failuresOnOneFaultyMachineDoNotDelayTheJobElsewhere() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 4));
    world.run(20);
    String bad = world.workers().get(0).machine.name();
    world.badMachines.add(bad);
    Job array = submit(TestFixtures.job(2, JobKind.ARRAY, 8, 0));
    world.run(25);
    assertTrue(world.checker.isDone(array.uid()));
  }

  @Test
  void failingJobIsTriedOneTaskAtATimeWithGrowingBackoff() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 8, 2));
    world.run(30);
    failing(2, 40);
    world.run(30);
    int before = starts();
    world.run(120);
    // Each try takes 5 s and waits for 32 s at last; 40 tasks at a time were hundreds of starts.
    assertTrue(starts() - before <= 12, starts() - before + " starts in two minutes");
  }

  @Test
  void failingJobDoesNotScaleOutAfterItsFirstTries() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    world.run(20);
    Job bad = failing(2, 60);
    world.run(60);
    int rented = world.cloud.hosts().size();
    world.run(200);
    assertEquals(rented, world.cloud.hosts().size(), "machines were rented for it again");
    world.abort(bad.uid());
    world.run(5);
    assertEquals(Phase.ABORTED, world.checker.finalStance(bad.uid()));
  }

  /** A new leader knows nothing of the failures; it used to begin with all tasks again. */
  @Test
  void failoverDoesNotRestartAllTasksOfAFailingJob() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 8, 2));
    world.run(30);
    failing(2, 40);
    world.run(70);
    int before = starts();
    for (int i = 0; i < 4; i++) {
      world.crash(world.leader(), 3000);
      world.run(20);
    }
    assertTrue(starts() - before <= 16, starts() - before + " starts over four takeovers");
  }

  /** The leader ends while the tasks of a try are under way or have just failed. */
  @Test
  void failoverDuringATryLeavesNothingRunning() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    world.run(20);
    Job bad = failing(2, 6);
    for (int i = 0; i < 6; i++) {
      world.run(3.7);
      world.crash(world.leader(), 2000);
    }
    world.run(10);
    world.abort(bad.uid());
    world.run(10);
    assertEquals(Phase.ABORTED, world.checker.finalStance(bad.uid()));
    assertEquals(0, world.checker.running(bad.uid()));
  }

  /** Some tasks that fail everywhere hold up neither the others nor each other. */
  @Test
  void aJobWithSomeFailingTasksFinishesTheOthers() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 3, 2));
    world.run(20);
    Job array = TestFixtures.job(2, JobKind.ARRAY, 30, 0);
    for (int index = 0; index < 4; index++) {
      world.badTasks.add(new TaskId(array.uid(), index));
    }
    submit(array);
    world.run(60);
    assertEquals(26, world.checker.completed(array.uid()));
    world.badTasks.clear();
    world.run(60);
    assertTrue(world.checker.isDone(array.uid()));
  }

  /** What looked like a mistake was the fault of two machines, as the trial task shows. */
  @Test
  void suspectedJobResumesOnceATaskSucceeds() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 3, 2));
    world.run(20);
    Job bad = failing(2, 24);
    world.run(60);
    assertFalse(world.checker.isDone(bad.uid()));
    world.badJobs.clear();
    world.run(60);
    assertTrue(world.checker.isDone(bad.uid()));
  }
}
