package eiderfork.controller.scheduling;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobState;
import eiderfork.model.JobKind;
import java.util.OptionalLong;

/**
 * Computes the order of jobs of one priority as a queue time; jobs with earlier times are served
 * first.
 *
 * <p>Services are ordered by arrival. Jobs with a deadline are ordered by the latest start time
 * that meets it: earliest deadline first, less the run time and the image fetch. Jobs that can't
 * meet any deadline follow those that can, but not indefinitely.
 */
final class QueueOrder {
  /**
   * The longest time that an array may be deferred for smaller arrays, as a share of its objective.
   */
  private static final double ARRAY_DEFERRAL_SHARE = 0.5;

  /** The objective within which every job must start, even one that will miss its deadline. */
  private static final long MAX_START_DELAY_MS = 240_000;

  /**
   * The share of {@link #MAX_START_DELAY_MS} after which a job that never started and will miss its
   * deadline is no longer deferred.
   */
  private static final double OVERDUE_SHARE = 0.6;

  /** The age at which a job that never started is overdue. */
  static final long OVERDUE_MS = (long) (MAX_START_DELAY_MS * OVERDUE_SHARE);

  /** Longer than any job's lifetime: places a job behind all others of its priority. */
  private static final long MISSED_DEADLINE_OFFSET_MS = 1L << 50;

  private final ControllerContext context;
  private final DeadlineEstimator deadlines;

  QueueOrder(ControllerContext context, DeadlineEstimator deadlines) {
    this.context = context;
    this.deadlines = deadlines;
  }

  /**
   * Returns the time by which the job is ordered in the queue.
   *
   * @param maxWaitingTasks the largest number of pending tasks of any array
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

  /**
   * Returns the deferral of an array in favour of smaller ones, which finish sooner and delay it
   * less. It is proportional to the array's pending tasks.
   */
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

  /**
   * Returns the queue time of a job that can't meet any deadline. The deferral ends sooner for a
   * job that never started, so that it starts in time.
   */
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
