package eiderfork.controller.scheduling;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobState;
import eiderfork.model.Job;
import eiderfork.model.JobKind;

/**
 * How many of an array's pending tasks get capacity at once. An array whose tasks are short beside
 * its objective runs in waves, or the machines booted for all of its tasks would stand idle soon.
 */
public final class ArrayParallelism {
  /** The share of its objective within which an array is planned to be done. */
  private static final double OBJECTIVE_SHARE = 0.25;

  /** An array of fewer waves is planned for as a whole. */
  private static final double MIN_WAVES = 4;

  /** From the end of a task to the start of the next one: a heartbeat, a write and a command. */
  private static final double TURNAROUND_STEPS = 2;

  /** How many times the planned tasks are started where there is free capacity. */
  private static final double START_FACTOR = 1.5;

  private final ControllerContext context;

  /** Makes an estimate from the settings of this context. */
  public ArrayParallelism(ControllerContext context) {
    this.context = context;
  }

  /** How many pending tasks of a job need capacity at once. */
  public int tasksToPlanFor(JobState job) {
    return maxTasks(job, 1);
  }

  /**
   * How many pending tasks of a job may be started at once. Free capacity is used beyond the plan,
   * so that the array is done sooner, but some is left to other jobs.
   */
  int tasksToStart(JobState job) {
    return maxTasks(job, START_FACTOR);
  }

  private int maxTasks(JobState job, double factor) {
    Job spec = job.spec();
    int pending = job.pendingTaskCount();
    double plannedDurationS = objectiveS(spec) * OBJECTIVE_SHARE;
    double taskDurationS = spec.estimatedRunS() + TURNAROUND_STEPS * context.stepS();
    if (spec.kind() != JobKind.ARRAY || plannedDurationS < MIN_WAVES * taskDurationS) {
      return pending;
    }
    // Finished tasks count as well, so that the last ones still run side by side.
    double maxConcurrentTasks = Math.ceil(factor * spec.tasks() * taskDurationS / plannedDurationS);
    return (int) Math.min(pending, Math.max(0, maxConcurrentTasks - job.reservations().size()));
  }

  /** The time in which the job should be done; 0 where it has neither objective nor deadline. */
  private double objectiveS(Job spec) {
    double objectiveS =
        context.settings.shortestObjectiveS(Objective.Kind.FINISHED, spec.jobClass());
    double shortestS =
        spec.deadlineS() == null ? objectiveS : Math.min(objectiveS, spec.deadlineS());
    return shortestS == Double.MAX_VALUE ? 0 : shortestS;
  }
}
