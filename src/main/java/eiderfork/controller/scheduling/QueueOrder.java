package eiderfork.controller.scheduling;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobState;
import eiderfork.model.JobKind;
import java.util.OptionalLong;

/**
 * The order of jobs of one priority, as a time: the earlier, the sooner a job is served.
 *
 * <p>Services go in the order of their arrival. Work with a deadline goes by the latest time at
 * which it may start to meet it (earliest deadline first, less the run and the image fetch). What
 * can't meet any deadline goes behind what can, but not for ever.
 */
final class QueueOrder {
  /** The share of its objective for which an array may yield to smaller ones. */
  private static final double ARRAY_DEFERRAL_SHARE = 0.5;

  /** The objective within which every job must have begun, whatever its chances. */
  private static final long MAX_START_DELAY_MS = 240_000;

  /** The share of that time after which a late job that never started is not put off any more. */
  private static final double OVERDUE_SHARE = 0.6;

  /** The age at which a job that never started is overdue. */
  static final long OVERDUE_MS = (long) (MAX_START_DELAY_MS * OVERDUE_SHARE);

  /** Longer than any job lives: puts a job behind all others of its priority. */
  private static final long MISSED_DEADLINE_OFFSET_MS = 1L << 50;

  private final ControllerContext context;
  private final DeadlineEstimator deadlines;

  QueueOrder(ControllerContext context, DeadlineEstimator deadlines) {
    this.context = context;
    this.deadlines = deadlines;
  }

  /**
   * The time by which the job is queued.
   *
   * @param maxWaitingTasks the most pending tasks of any array
   */
  long queueTimeMs(JobState job, int maxWaitingTasks) {
    if (job.spec().kind() == JobKind.SERVICE) {
      return job.firstSeenMs();
    }
    if (job.spec().deadlineS() == null) {
      return job.firstSeenMs() + arrayDeferralMs(job, maxWaitingTasks);
    }
    OptionalLong latestStartMs = deadlines.latestStartMs(job);
    return latestStartMs.isPresent() ? latestStartMs.getAsLong() : missedDeadlineQueueTimeMs(job);
  }

  /** How long an array yields to smaller ones, which are done sooner and delay it less. */
  private long arrayDeferralMs(JobState job, int maxWaitingTasks) {
    if (job.spec().kind() != JobKind.ARRAY) {
      return 0;
    }
    double objectiveS =
        context.settings.shortestObjectiveS(Objective.Kind.FINISHED, job.spec().jobClass());
    double maxDeferralS = objectiveS == Double.MAX_VALUE ? 0 : objectiveS * ARRAY_DEFERRAL_SHARE;
    double relativeSize = job.pendingTaskCount() / (double) maxWaitingTasks;
    return toMs(maxDeferralS * relativeSize);
  }

  /** A job that never started must begin; one that has begun may wait for longer. */
  private long missedDeadlineQueueTimeMs(JobState job) {
    boolean hasBegun = job.lastAttempt() > 0;
    double maxWaitMs = MAX_START_DELAY_MS * (hasBegun ? 1 : OVERDUE_SHARE);
    boolean isOverdue = context.nowMs() - job.firstSeenMs() >= maxWaitMs;
    return job.firstSeenMs() + (isOverdue ? 0 : MISSED_DEADLINE_OFFSET_MS);
  }

  private static long toMs(double seconds) {
    return (long) (seconds * 1000);
  }
}
