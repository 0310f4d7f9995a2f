package eiderfork.controller.scheduling;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobState;
import eiderfork.model.Job;
import eiderfork.model.JobKind;

/**
 * Limits the number of an array's pending tasks that get capacity at once. An array whose tasks are
 * short compared to its objective runs in waves; otherwise the machines booted for all of its tasks
 * would soon be idle.
 */
public final class ArrayParallelism {
  /** The share of its objective within which an array is planned to finish. */
  private static final double OBJECTIVE_SHARE = 0.25;

  /** The number of waves below which capacity is planned for the whole array. */
  private static final double MIN_WAVES = 4;

  /**
   * The time from the end of a task to the start of the next one, in steps: a heartbeat, a write
   * and a command.
   */
  private static final double TURNAROUND_STEPS = 2;

  /** The number of tasks started on free capacity, as a multiple of the planned tasks. */
  private static final double START_FACTOR = 1.5;

  private final ControllerContext context;

  /** Creates an instance that uses the settings of this context. */
  public ArrayParallelism(ControllerContext context) {
    this.context = context;
  }

  /** Returns the number of a job's pending tasks to plan capacity for. */
  public int tasksToPlanFor(JobState job) {
    return maxTasks(job, 1);
  }

  /**
   * Returns the number of a job's pending tasks that may start now. More tasks than planned use
   * free capacity, so that the array finishes sooner, but some is left to other jobs.
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
    // Based on all tasks, including finished ones, so that the last tasks still run in parallel.
    double maxConcurrentTasks = Math.ceil(factor * spec.tasks() * taskDurationS / plannedDurationS);
    return (int) Math.min(pending, Math.max(0, maxConcurrentTasks - job.reservations().size()));
  }

  /**
   * Returns the time in which the job should finish; 0 if it has neither an objective nor a
   * deadline.
   */
  private double objectiveS(Job spec) {
    double objectiveS =
        context.settings.shortestObjectiveS(Objective.Kind.FINISHED, spec.jobClass());
    double shortestS =
        spec.deadlineS() == null ? objectiveS : Math.min(objectiveS, spec.deadlineS());
    return shortestS == Double.MAX_VALUE ? 0 : shortestS;
  }
}
