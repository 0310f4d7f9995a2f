package eiderfork.controller;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import java.util.OptionalLong;

/**
 * When a job's turn is among those of its rank, as a moment: the earlier, the sooner it is served.
 *
 * <p>Services go in the order of their arrival. Work with a deadline goes by the latest moment at
 * which it may start to be in time (earliest deadline first, less the run and the image). What
 * can't be in time any more goes behind what can, but not for ever.
 */
final class QueueOrder {
  /** The share of the time it has that an array may yield to smaller ones of its rank. */
  private static final double SMALLER_ARRAYS_FIRST_SHARE = 0.5;

  /** The time, by the users, in which the largest jobs must have begun whatever their chances. */
  private static final long MAX_START_DELAY_MS = 240_000;

  /** The share of that time after which a late job that never started goes before all others. */
  private static final double OVERDUE_SHARE = 0.6;

  /** After this time work that never started goes before what is put first otherwise. */
  static final long OVERDUE_MS = (long) (MAX_START_DELAY_MS * OVERDUE_SHARE);

  /** Longer than any job lives: what is put off by this comes behind all others of its rank. */
  private static final long LAST_IN_RANK_OFFSET_MS = 1L << 50;

  private final ControllerContext context;
  private final DeadlineEstimator deadlines;

  QueueOrder(ControllerContext context, DeadlineEstimator deadlines) {
    this.context = context;
    this.deadlines = deadlines;
  }

  /**
   * @param maxWaitingTasks the most tasks that any array has waiting
   */
  long queueTimeMs(JobState entry, int maxWaitingTasks) {
    Job job = entry.spec;
    if (job.kind() == JobKind.SERVICE) {
      return entry.firstSeenMs;
    }
    // Small arrays are sooner done, and a larger one loses less by waiting for them.
    double size = entry.pendingTaskCount() / (double) maxWaitingTasks;
    if (job.deadlineS() == null) {
      double aimS = context.settings.shortestObjectiveS(Objective.Kind.FINISHED, job.jobClass());
      double yieldS = aimS == Double.MAX_VALUE ? 0 : aimS * SMALLER_ARRAYS_FIRST_SHARE;
      return entry.firstSeenMs + (job.kind() == JobKind.ARRAY ? toMs(yieldS * size) : 0);
    }
    OptionalLong latestStartMs = deadlines.latestStartMs(entry);
    if (latestStartMs.isPresent()) {
      return latestStartMs.getAsLong();
    }
    // Late work that never began has a right to begin; what has begun may wait for longer.
    boolean begun = entry.lastAttempt() > 0;
    double waitMostMs = MAX_START_DELAY_MS * (begun ? 1 : OVERDUE_SHARE);
    boolean waitedLongEnough = context.nowMs - entry.firstSeenMs >= waitMostMs;
    return entry.firstSeenMs + (waitedLongEnough ? 0 : LAST_IN_RANK_OFFSET_MS);
  }

  private static long toMs(double seconds) {
    return (long) (seconds * 1000);
  }
}
