package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.JobKind;

/** Whether a job's tasks may be placed, and its completions written, in this round. */
final class DispatchEligibility {
  /** While writes wait for less than this share of a step, what is not urgent is written, too. */
  private static final double IDLE_WRITE_WAIT_SHARE = 0.2;

  /** How long completions of a running job may stay unwritten while writes wait, in steps. */
  private static final int MAX_PARTIAL_COMPLETION_DELAY_STEPS = 5;

  private final ControllerContext context;
  private final StoreClient store;
  private final JobRegistry jobs;

  DispatchEligibility(ControllerContext context, StoreClient store, JobRegistry jobs) {
    this.context = context;
    this.store = store;
    this.jobs = jobs;
  }

  /** Whether a write of the job may begin. */
  boolean canWrite(JobState job) {
    return job.canWrite(context.nowMs());
  }

  /** Whether tasks of the job may be placed. */
  boolean canPlace(JobState job) {
    return job.hasPendingTasks()
        && context.nowMs() >= job.failureHistory().notBeforeMs()
        && !isBatchingStarts(job)
        && !isAwaitingTrialTask(job)
        && store.writeWaitMs(startPriority(job)) <= context.stepMs();
  }

  /**
   * Whether an array that has begun waits for more free capacity before it starts further tasks. If
   * each completion were followed by a start, each start would take a write, and a range of its own
   * in the job's record.
   */
  boolean isBatchingStarts(JobState job) {
    return job.spec().kind() == JobKind.ARRAY
        && job.lastAttempt() > 0
        && context.nowMs() - job.writes().lastWriteMs() < batchingDelayMs();
  }

  /**
   * Whether a suspected job waits for the outcome of the one task that it may try. A task that has
   * outlived the failures clears the suspicion.
   */
  private boolean isAwaitingTrialTask(JobState job) {
    if (!job.failureHistory().isSuspected()) {
      return false;
    }
    for (Reservation reservation : job.reservations().values()) {
      if (job.failureHistory().hasOutlivedFailures(reservation, context.nowMs())) {
        job.failureHistory().recordSuccess();
        return false;
      }
    }
    return !job.reservations().isEmpty();
  }

  /** The priority of a write that starts tasks of the job. */
  static RequestPriority startPriority(JobState job) {
    return job.spec().kind() == JobKind.ARRAY ? RequestPriority.BATCH : RequestPriority.START;
  }

  /** Writes completions once they were collected for long enough; whether some are left. */
  boolean writeCompletions(JobState job) {
    if (!canWrite(job)) {
      return job.writes().isInFlight() && job.writes().isDirty();
    }
    if (job.writes().isDirty() && job.tasks().isAllFinished()) {
      jobs.write(job, RequestPriority.START);
    } else if (job.writes().isDirty() && canWritePartialCompletions(job)) {
      jobs.write(job, RequestPriority.BATCH);
    }
    return job.writes().isDirty();
  }

  /**
   * Whether the completions of a job that goes on may be written now. While writes wait they are
   * left to the job's next write, since they would delay starts, and the completion of the whole
   * job behind them. They are not left for long: a task counts for its team's quota until its
   * completion is written.
   */
  private boolean canWritePartialCompletions(JobState job) {
    long sinceWrittenMs = context.nowMs() - job.writes().lastWriteMs();
    long waitMs = store.writeWaitMs(RequestPriority.BATCH);
    return sinceWrittenMs >= batchingDelayMs() && waitMs <= IDLE_WRITE_WAIT_SHARE * context.stepMs()
        || sinceWrittenMs >= MAX_PARTIAL_COMPLETION_DELAY_STEPS * context.stepMs()
            && waitMs <= context.stepMs();
  }

  private long batchingDelayMs() {
    return (long) (context.stepMs() * context.settings.operator().updateWindowShare());
  }
}
