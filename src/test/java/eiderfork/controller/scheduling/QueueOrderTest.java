package eiderfork.controller.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.config.Settings;
import eiderfork.controller.TestFixtures;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the queue order of jobs of one priority and the deadline estimates behind it. */
class QueueOrderTest {
  private static final long START_MS = 1_000_000;

  private final ControllerContext context =
      new ControllerContext(settings(), new Random(1), START_MS);
  private final StoreClient store = new StoreClient(context);
  private final JobRegistry jobs = new JobRegistry(context, store, null, null);
  private final MachineRegistry fleet = new MachineRegistry(context, jobs);
  private final DeadlineEstimator deadlines = new DeadlineEstimator(context, fleet);
  private final FairShareOrder order = new FairShareOrder(context, deadlines);

  QueueOrderTest() {
    fleet.updateTypes(
        ImmutableList.of(
            new MachineType(
                "g4", new Resources(16, 4, 64), 50, 2, 8, 3, 4, ImmutableList.of("a"))));
  }

  /**
   * Returns settings with two deadline objectives: 90% of arrays finish by their deadline and 97.5%
   * within 1.5 times the deadline.
   */
  private static Settings settings() {
    return TestFixtures.withObjectives(
        TestFixtures.settings("roost-0"),
        ImmutableList.of(
            new Settings.Objective(Settings.Objective.Kind.DEADLINE, "batch", 0, 1.5, 0.975),
            new Settings.Objective(Settings.Objective.Kind.DEADLINE, "batch", 0, 1, 0.9)));
  }

  /** Adds an array whose 20 GB image takes 10 s to fetch. */
  private JobState array(int number, int tasks, double estimateS, Double deadlineS) {
    Job template =
        TestFixtures.job(
            number, JobKind.ARRAY, tasks, 1, "blue", Priority.HIGH, false, false, "img", 20);
    Job job =
        new Job(
            template.uid(),
            template.jobClass(),
            template.team(),
            template.kind(),
            template.priority(),
            tasks,
            template.taskResources(),
            null,
            null,
            false,
            false,
            false,
            template.image(),
            template.imageGb(),
            estimateS,
            0,
            0,
            deadlineS);
    return jobs.add(job, number);
  }

  private List<JobState> sorted() {
    return order.sort(jobs);
  }

  @Test
  void ordersByLatestStartTimeNotByArrival() {
    JobState relaxed = array(1, 4, 50, 300.0);
    JobState urgent = array(2, 4, 50, 80.0);
    JobState shortRun = array(3, 4, 10, 80.0);
    assertEquals(List.of(urgent, shortRun, relaxed), sorted());
  }

  @Test
  void jobsThatMissTheirDeadlineFollowJobsThatMeetIt() {
    JobState late = array(1, 4, 50, 30.0);
    JobState inTime = array(2, 4, 50, 300.0);
    assertEquals(List.of(inTime, late), sorted());
  }

  @Test
  void missedDeadlineFallsBackToTheNextObjective() {
    JobState other = array(1, 4, 50, 200.0);
    JobState first = array(2, 4, 50, 100.0);
    context.advanceTo(START_MS + 60_000);
    // A start by 40 s meets the deadline itself; a start by 90 s meets 1.5 times the deadline.
    assertEquals(List.of(first, other), sorted());
  }

  /** Placed behind all other jobs, a late job would starve while new work keeps arriving. */
  @Test
  void lateJobThatNeverStartedGoesFirstToStartWithinFourMinutes() {
    JobState late = array(1, 4, 50, 40.0);
    context.advanceTo(START_MS + 150_000);
    JobState fresh = array(2, 4, 50, 70.0);
    assertEquals(List.of(late, fresh), sorted());
  }

  @Test
  void arraysWithoutDeadlineAreOrderedByArrival() {
    List<JobState> arrays = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      arrays.add(array(i, 4, 50, null));
      context.advanceBy(1000);
    }
    assertEquals(arrays, sorted());
    JobState urgent = array(4, 4, 50, 61.0);
    assertTrue(sorted().indexOf(urgent) > 0, "the older arrays come first");
  }

  /**
   * Guards against placing jobs without time for a rerun on spot machines: reclaimed machines made
   * a fifth of the arrays miss their deadlines.
   */
  @Test
  void detectsJobsWithoutTimeForARerun() {
    JobState relaxed = array(1, 4, 50, 200.0);
    JobState tight = array(2, 4, 50, 100.0);
    JobState noDeadline = array(3, 4, 50, null);
    assertFalse(deadlines.hasNoTimeForRerun(relaxed));
    assertTrue(deadlines.hasNoTimeForRerun(tight));
    assertFalse(deadlines.hasNoTimeForRerun(noDeadline));
    context.advanceTo(START_MS + 120_000);
    assertTrue(deadlines.hasNoTimeForRerun(relaxed));
  }

  @Test
  void onlyATaskThatMeetsItsDeadlineIsLateIfRerun() {
    JobState job = array(1, 1, 50, 100.0);
    Reservation first = new Reservation(job, 0, 1, fleet.getOrRegister("n-1"));
    first.onRunningReported(START_MS + 20_000);
    context.advanceTo(START_MS + 40_000);
    assertFalse(deadlines.isLateIfRerun(first), "a rerun from now ends at 90 s");
    context.advanceTo(START_MS + 60_000);
    assertTrue(deadlines.isLateIfRerun(first), "a rerun from now ends at 110 s");
    Reservation second = new Reservation(job, 0, 2, fleet.getOrRegister("n-1"));
    second.onRunningReported(START_MS + 55_000);
    assertFalse(
        deadlines.isLateIfRerun(second),
        "it misses 100 s in any case and meets 150 s even if rerun");
  }
}
