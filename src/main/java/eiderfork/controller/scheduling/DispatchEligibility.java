package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.JobKind;

/** Decides whether a job's tasks may be placed, and its completions written, in this round. */
final class DispatchEligibility {
  /**
   * The expected write wait, as a share of a step, up to which completions that are not urgent are
   * written.
   */
  private static final double IDLE_WRITE_WAIT_SHARE = 0.2;

  /**
   * The longest time that completions of a running job stay unwritten while writes wait, in steps.
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

  /** Returns whether a write of the job may begin. */
  boolean canWrite(JobState job) {
    return job.canWrite(context.nowMs());
  }

  /** Returns whether tasks of the job may be placed. */
  boolean canPlace(JobState job) {
    return job.hasPendingTasks()
        && context.nowMs() >= job.failureHistory().notBeforeMs()
        && !isBatchingStarts(job)
        && !isAwaitingTrialTask(job)
        && store.writeWaitMs(startPriority(job)) <= context.stepMs();
  }

  /**
   * Returns whether an array that has begun collects free capacity before it starts more tasks.
   * Starting a task after each completion would take one write per start, and one range per task in
   * the job's record.
   */
  boolean isBatchingStarts(JobState job) {
    return job.spec().kind() == JobKind.ARRAY
        && job.lastAttempt() > 0
        && context.nowMs() - job.writes().lastWriteMs() < batchingDelayMs();
  }

  /**
   * Returns whether a job suspected of failing everywhere waits for the outcome of its single trial
   * task. A task that outlives the earlier failures clears the suspicion.
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

  /** Returns the priority of a write that starts tasks of the job. */
  static RequestPriority startPriority(JobState job) {
    return job.spec().kind() == JobKind.ARRAY ? RequestPriority.BATCH : RequestPriority.START;
  }

  /** Writes the job's completions if they are due and returns whether unwritten changes remain. */
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
   * Returns whether the completions of a job with unfinished tasks may be written now. While writes
   * wait, completions are left to the job's next write, since they would delay starts and writes
   * that complete a whole job. The delay is bounded because a task counts towards its team's quota
   * until its completion is written.
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
