package eiderfork.controller;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.JobKind;

/**
 * How many of an array's waiting tasks get room at once. An array whose tasks are short beside the
 * time that it has runs in waves: room for all of 25,000 tasks of four seconds at once was rented,
 * and stood idle when they were through.
 */
final class ArrayParallelism {
  /** The share of the time that the users give an array in which it should be done. */
  private static final double OBJECTIVE_SHARE = 0.25;

  /** An array of fewer waves is planned for as a whole. */
  private static final double MIN_WAVES = 4;

  /** From the end of a task to the start of one in its place: a report, a write and a command. */
  private static final double TURNAROUND_STEPS = 2;

  /** How many times as many tasks as planned for are started where there is room. */
  private static final double START_FACTOR = 1.5;

  private final ControllerContext context;

  ArrayParallelism(ControllerContext context) {
    this.context = context;
  }

  /** How many tasks that wait need room at once. */
  int tasksToPlanFor(JobState job) {
    return maxTasks(job, 1);
  }

  /**
   * How many tasks that wait may be started at once. Where there is room for more than planned, the
   * array is sooner through, but 8,000 tasks of one guest at a time left no processors to others.
   */
  int tasksToStart(JobState job) {
    return maxTasks(job, START_FACTOR);
  }

  private int maxTasks(JobState entry, double factor) {
    int waiting = entry.pendingTaskCount();
    Job job = entry.spec;
    double timeS = objectiveS(job) * OBJECTIVE_SHARE;
    double taskS = job.estimatedRunS() + TURNAROUND_STEPS * context.stepS();
    if (job.kind() != JobKind.ARRAY || timeS < MIN_WAVES * taskS) {
      return waiting;
    }
    // All of its tasks count, also those that are through: the last ones are not strung out.
    double atOnce = Math.ceil(factor * job.tasks() * taskS / timeS);
    return (int) Math.min(waiting, Math.max(0, atOnce - entry.reservations().size()));
  }

  /** The time in which the users want the job done; 0 where they name none. */
  private double objectiveS(Job job) {
    double aimS = context.settings.shortestObjectiveS(Objective.Kind.FINISHED, job.jobClass());
    double timeS = job.deadlineS() == null ? aimS : Math.min(aimS, job.deadlineS());
    return timeS == Double.MAX_VALUE ? 0 : timeS;
  }
}
