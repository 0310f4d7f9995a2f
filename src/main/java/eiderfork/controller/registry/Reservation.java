package eiderfork.controller.registry;

import eiderfork.model.Attempt;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus;

/** A task's reservation on a machine, from the round that proposes it until it is settled. */
public final class Reservation {
  private final JobState job;
  private final int taskIndex;
  private final long attempt;
  private final MachineState machine;

  private boolean committed;
  private boolean stopping;
  private boolean withoutSave;
  private TaskStatus.State reportedState;
  private long startToken;
  private long startIncarnation;
  private long runningSinceMs;
  private long savingSinceMs;

  /** Makes a proposed reservation; neither the job nor the machine has it yet. */
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

  /** The task's number in its job. */
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

  /** The attempt as workers know it. */
  public Attempt toAttempt() {
    return new Attempt(new TaskId(job.spec().uid(), taskIndex), attempt);
  }

  /** Whether the reservation is in the store; no command is sent before. */
  public boolean isCommitted() {
    return committed;
  }

  /** The reservation was written to the store, or read from it. */
  public void onCommitted() {
    committed = true;
  }

  /** The last state that the machine reported of the task, null for none. */
  public TaskStatus.State reportedState() {
    return reportedState;
  }

  /** The machine reports this state of the task. */
  public void onStateReported(TaskStatus.State state) {
    reportedState = state;
  }

  /**
   * Whether the task counts as running. A gang runs once all of its tasks do; a replica counts
   * while it fetches its image.
   */
  boolean isReportedRunning() {
    if (reportedState == null || reportedState == TaskStatus.State.ENDED) {
      return false;
    }
    return job.gang() == null
        || reportedState != TaskStatus.State.FETCHING
            && reportedState != TaskStatus.State.WAITING_FOR_GANG;
  }

  /** When the task was first reported as running, 0 for not yet. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** The machine reports that the task is running; the first such report counts. */
  public void onRunningReported(long nowMs) {
    if (runningSinceMs == 0) {
      runningSinceMs = nowMs;
    }
  }

  /** The largest fencing token that the task's start was sent with; 0 for never in this term. */
  public long startToken() {
    return startToken;
  }

  /** The worker incarnation that the task's start was sent to; 0 for never in this term. */
  public long startIncarnation() {
    return startIncarnation;
  }

  /** The task's start is sent to this incarnation of the worker. */
  public void onStartSent(long fencingToken, long incarnation) {
    startToken = fencingToken;
    startIncarnation = incarnation;
  }

  /** Whether this leader has seen the task start, so that it knows for how long it has run. */
  public boolean isStartObserved() {
    return startToken > 0 && runningSinceMs > 0;
  }

  /** Whether the task may be started. */
  public boolean canStart() {
    return committed && isDesired() && reportedState == null;
  }

  /** Whether the task should run where it is. */
  public boolean isDesired() {
    return !stopping && !job.isCancelled();
  }

  /** Whether the task is to be stopped; it is not started again under this reservation. */
  public boolean isStopping() {
    return stopping;
  }

  /** Has the task stopped. The caller refreshes the job's indexes. */
  public void requestStop() {
    if (!stopping) {
      stopping = true;
      job.tasks().onStopRequested();
    }
  }

  /** Takes back a decision to stop of which nothing was sent yet. */
  public void revokeStop() {
    if (stopping) {
      stopping = false;
      job.tasks().onStopRevoked();
    }
    withoutSave = false;
  }

  /** The task ends at once when it is stopped, or while it saves. */
  public void skipSave() {
    withoutSave = true;
  }

  /** The time that the task gets to save when it is stopped. */
  public double stopGraceS() {
    return withoutSave ? 0 : job.stopGraceS();
  }

  /** The machine reports that the task is saving; the first such report counts. */
  public void onSavingReported(long nowMs) {
    if (savingSinceMs == 0) {
      savingSinceMs = nowMs;
    }
  }

  /** Whether the task has been saving for longer than it should take, and this much longer. */
  public boolean isSaveOverdue(long nowMs, long marginMs) {
    long saveMs = (long) (job.spec().saveDurationS() * 1000);
    return savingSinceMs > 0 && nowMs - savingSinceMs > saveMs + marginMs;
  }
}
