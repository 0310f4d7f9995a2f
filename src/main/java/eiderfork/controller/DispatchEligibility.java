package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.JobKind;

/** Whether a job's tasks may be placed, and what ended of it written, in this round. */
final class DispatchEligibility {
  /** Writes that wait for less than this share of a step leave room for what is not urgent. */
  private static final double IDLE_WRITE_WAIT_SHARE = 0.2;

  /**
   * How long the ends of some of a job's tasks may be left unwritten while writes wait, in steps.
   */
  private static final int MAX_PARTIAL_COMPLETION_DELAY_STEPS = 5;

  private final ControllerContext context;
  private final StoreClient store;
  private final JobRegistry jobs;

  DispatchEligibility(ControllerContext context, StoreClient store, JobRegistry jobs) {
    this.context = context;
    this.store = store;
    this.jobs = jobs;
  }

  boolean canWrite(JobState job) {
    return job.canWrite(context.nowMs);
  }

  boolean canPlace(JobState job) {
    return !job.pendingTasks.isEmpty()
        && context.nowMs >= job.failureHistory.notBeforeMs()
        && !isBatchingStarts(job)
        && !isAwaitingTrialTask(job)
        && store.writeWaitMs(startPriority(job)) <= context.stepMs();
  }

  /**
   * Whether an array that has begun collects some room before it starts more tasks. Those that end
   * one by one would each be followed by a start, a write and a run of reservations of its own,
   * which take more of the record than a few longer runs.
   */
  boolean isBatchingStarts(JobState job) {
    return job.spec.kind() == JobKind.ARRAY
        && job.lastAttempt > 0
        && context.nowMs - job.lastWriteMs < batchingDelayMs();
  }

  /** Whether one task of a job that seems to fail everywhere is under way and may show better. */
  private boolean isAwaitingTrialTask(JobState job) {
    if (!job.failureHistory.isSuspected()) {
      return false;
    }
    for (Reservation reservation : job.reservations.values()) {
      if (job.failureHistory.hasOutlivedFailures(reservation, context.nowMs)) {
        job.failureHistory.recordSuccess();
        return false;
      }
    }
    return !job.reservations.isEmpty();
  }

  static RequestPriority startPriority(JobState job) {
    return job.spec.kind() == JobKind.ARRAY ? RequestPriority.BATCH : RequestPriority.START;
  }

  /** Writes what only ended, once it was collected for long enough; whether some is left. */
  boolean writeCompletions(JobState job) {
    if (!canWrite(job)) {
      return job.writeInFlight && job.dirty;
    }
    if (job.dirty && job.hasAllTasksFinished()) {
      jobs.write(job, RequestPriority.START);
    } else if (job.dirty && canWritePartialCompletions(job)) {
      jobs.write(job, RequestPriority.BATCH);
    }
    return job.dirty;
  }

  /**
   * Whether the ends of some of a job's tasks may be written now. While writes wait they are left
   * to the job's next start or end, which carry them: handed over, they would hold up starts, and a
   * job whose last task ends meanwhile could only be written behind them. On a full write rate
   * users were told 6 to 12 s late that their arrays were done. They are not left for long, since a
   * team's tasks count until their ends are written.
   */
  private boolean canWritePartialCompletions(JobState job) {
    long sinceWrittenMs = context.nowMs - job.lastWriteMs;
    long waitMs = store.writeWaitMs(RequestPriority.BATCH);
    return sinceWrittenMs >= batchingDelayMs() && waitMs <= IDLE_WRITE_WAIT_SHARE * context.stepMs()
        || sinceWrittenMs >= MAX_PARTIAL_COMPLETION_DELAY_STEPS * context.stepMs()
            && waitMs <= context.stepMs();
  }

  private long batchingDelayMs() {
    return (long) (context.stepMs() * context.settings.operator().updateWindowShare());
  }
}
