package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.JobKind;

/** Whether a job's tasks may be placed, and what ended of it written, in this round. */
final class DispatchEligibility {
  /** Writes that wait for less than this share of a step leave room for what is not urgent. */
  private static final double IDLE_SHARE = 0.2;

  /**
   * How long the ends of some of a job's tasks may be left unwritten while writes wait, in steps.
   */
  private static final int ENDS_STEPS = 5;

  private final ControllerContext context;
  private final StoreClient gate;
  private final JobRegistry jobs;

  DispatchEligibility(ControllerContext context, StoreClient gate, JobRegistry jobs) {
    this.context = context;
    this.gate = gate;
    this.jobs = jobs;
  }

  boolean mayWrite(JobState entry) {
    return entry.mayWrite(context.nowMs);
  }

  boolean mayPlace(JobState entry) {
    return !entry.waiting.isEmpty()
        && context.nowMs >= entry.failures.notBeforeMs()
        && !collectsStarts(entry)
        && !awaitsItsTrial(entry)
        && gate.waitMs(startUrgency(entry)) <= context.stepMs();
  }

  /**
   * Whether an array that has begun collects some room before it starts more tasks. Those that end
   * one by one would each be followed by a start, a write and a run of reservations of its own,
   * which take more of the record than a few longer runs.
   */
  boolean collectsStarts(JobState entry) {
    return entry.job.kind() == JobKind.ARRAY
        && entry.lastAttempt > 0
        && context.nowMs - entry.writtenMs < collectMs();
  }

  /** Whether one task of a job that seems to fail everywhere is under way and may show better. */
  private boolean awaitsItsTrial(JobState entry) {
    if (!entry.failures.isSuspected()) {
      return false;
    }
    for (Reservation p : entry.placed.values()) {
      if (entry.failures.outlived(p, context.nowMs)) {
        entry.failures.succeeded();
        return false;
      }
    }
    return !entry.placed.isEmpty();
  }

  static RequestPriority startUrgency(JobState entry) {
    return entry.job.kind() == JobKind.ARRAY ? RequestPriority.BATCH : RequestPriority.START;
  }

  /** Writes what only ended, once it was collected for long enough; whether some is left. */
  boolean writeEnds(JobState entry) {
    if (!mayWrite(entry)) {
      return entry.writing && entry.dirty;
    }
    if (entry.dirty && entry.allFinished()) {
      jobs.write(entry, RequestPriority.START);
    } else if (entry.dirty && mayWriteEndsOfSome(entry)) {
      jobs.write(entry, RequestPriority.BATCH);
    }
    return entry.dirty;
  }

  /**
   * Whether the ends of some of a job's tasks may be written now. While writes wait they are left
   * to the job's next start or end, which carry them: handed over, they would hold up starts, and a
   * job whose last task ends meanwhile could only be written behind them. On a full write rate
   * users were told 6 to 12 s late that their arrays were done. They are not left for long, since a
   * team's tasks count until their ends are written.
   */
  private boolean mayWriteEndsOfSome(JobState entry) {
    long sinceWrittenMs = context.nowMs - entry.writtenMs;
    long waitMs = gate.waitMs(RequestPriority.BATCH);
    return sinceWrittenMs >= collectMs() && waitMs <= IDLE_SHARE * context.stepMs()
        || sinceWrittenMs >= ENDS_STEPS * context.stepMs() && waitMs <= context.stepMs();
  }

  private long collectMs() {
    return (long) (context.stepMs() * context.settings.operator().roundShare());
  }
}
