package eiderfork.controller.registry;

import eiderfork.model.Attempt;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus;

/** A task's reservation on a machine, from the scheduling round that proposes it to settlement. */
public final class Reservation {
  private final JobState job;
  private final int taskIndex;
  private final long attempt;
  private final MachineState machine;

  private boolean committed;
  private boolean stopping;
  private boolean saveSkipped;
  private TaskStatus.State reportedState;
  private long startToken;
  private long startIncarnation;
  private long runningSinceMs;
  private long savingSinceMs;

  /** Creates a proposed reservation without adding it to the job or the machine. */
  public Reservation(JobState job, int taskIndex, long attempt, MachineState machine) {
    this.job = job;
    this.taskIndex = taskIndex;
    this.attempt = attempt;
    this.machine = machine;
  }

  /** The job of the reserved task. */
  public JobState job() {
    return job;
  }

  /** The index of the task in its job. */
  public int taskIndex() {
    return taskIndex;
  }

  /** The number of the attempt. */
  public long attempt() {
    return attempt;
  }

  /** The machine that the task is reserved on. */
  public MachineState machine() {
    return machine;
  }

  /** Returns the attempt in the form used in messages to workers. */
  public Attempt toAttempt() {
    return new Attempt(new TaskId(job.spec().uid(), taskIndex), attempt);
  }

  /** Returns whether the reservation is committed to the store; no command is sent before. */
  public boolean isCommitted() {
    return committed;
  }

  /** Records that the reservation was written to the store, or read from it. */
  public void onCommitted() {
    committed = true;
  }

  /** The last state of the task that the machine reported; null for none. */
  public TaskStatus.State reportedState() {
    return reportedState;
  }

  /** Records the state of the task that the machine reports. */
  public void onStateReported(TaskStatus.State state) {
    reportedState = state;
  }

  /**
   * Returns whether the task counts as running. A task of a gang counts only after it has fetched
   * its image and no longer waits for the other tasks; any other task counts while it fetches its
   * image, too.
   */
  boolean isReportedRunning() {
    if (reportedState == null || reportedState == TaskStatus.State.ENDED) {
      return false;
    }
    return job.gang() == null
        || reportedState != TaskStatus.State.FETCHING
            && reportedState != TaskStatus.State.WAITING_FOR_GANG;
  }

  /** The time when the task was first reported as running; 0 for not yet. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** Records that the machine reports the task as running; only the first report sets the time. */
  public void onRunningReported(long nowMs) {
    if (runningSinceMs == 0) {
      runningSinceMs = nowMs;
    }
  }

  /** The largest fencing token with which the task's start was sent; 0 for never in this term. */
  public long startToken() {
    return startToken;
  }

  /** The worker incarnation to which the task's start was sent; 0 for never in this term. */
  public long startIncarnation() {
    return startIncarnation;
  }

  /** Records that the task's start is sent to this incarnation of the worker. */
  public void onStartSent(long fencingToken, long incarnation) {
    startToken = fencingToken;
    startIncarnation = incarnation;
  }

  /** Returns whether this leader has observed the task's start and so knows its run time. */
  public boolean isStartObserved() {
    return startToken > 0 && runningSinceMs > 0;
  }

  /** Returns whether the task may be started. */
  public boolean canStart() {
    return committed && isDesired() && reportedState == null;
  }

  /** Returns whether the task should run on this machine: it is not stopping or cancelled. */
  public boolean isDesired() {
    return !stopping && !job.isCancelled();
  }

  /** Returns whether the task is to be stopped; this reservation does not start it again. */
  public boolean isStopping() {
    return stopping;
  }

  /** Requests that the task is stopped. The caller refreshes the job's indexes. */
  public void requestStop() {
    if (!stopping) {
      stopping = true;
      job.tasks().onStopRequested();
    }
  }

  /** Revokes a stop request that was not yet sent to the machine. */
  public void revokeStop() {
    if (stopping) {
      stopping = false;
      job.tasks().onStopRevoked();
    }
    saveSkipped = false;
  }

  /** Makes the task end immediately when it is stopped or if it is already saving. */
  public void skipSave() {
    saveSkipped = true;
  }

  /** The time that the task gets to save when it is stopped, in seconds. */
  public double stopGraceS() {
    return saveSkipped ? 0 : job.stopGraceS();
  }

  /** Records that the machine reports the task as saving; only the first report sets the time. */
  public void onSavingReported(long nowMs) {
    if (savingSinceMs == 0) {
      savingSinceMs = nowMs;
    }
  }

  /** Returns whether the task has exceeded its save duration by more than {@code marginMs}. */
  public boolean isSaveOverdue(long nowMs, long marginMs) {
    long saveMs = (long) (job.spec().saveDurationS() * 1000);
    return savingSinceMs > 0 && nowMs - savingSinceMs > saveMs + marginMs;
  }
}
