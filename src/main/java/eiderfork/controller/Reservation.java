package eiderfork.controller;

import eiderfork.model.Attempt;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus;

/** A task's reservation on a machine, from the round that proposes it until it is settled. */
final class Reservation {
  final JobState job;
  final int taskIndex;
  final long attempt;
  final MachineState machine;

  /** The reservation stands in the state service; nothing is sent before. */
  boolean committed;

  /** The task is to be stopped; it is not started again under this reservation. */
  private boolean stopping;

  /** The task gets no time to save when it is stopped. */
  private boolean withoutSave;

  /** The last state seen of it on the machine, null for none. */
  TaskStatus.State reportedState;

  /** The largest token and session that its start was sent with; 0 for never in this term. */
  long startToken;

  long startIncarnation;

  /** When the task was first seen running, 0 for not yet. */
  long runningSinceMs;

  /** When the task was first seen saving, 0 for not yet. */
  private long savingSinceMs;

  Reservation(JobState job, int taskIndex, long attempt, MachineState machine) {
    this.job = job;
    this.taskIndex = taskIndex;
    this.attempt = attempt;
    this.machine = machine;
  }

  Attempt toAttempt() {
    return new Attempt(new TaskId(job.spec.uid(), taskIndex), attempt);
  }

  /** Has the task stopped; its job's owner of the tallies is to be told of it. */
  void requestStop() {
    if (!stopping) {
      stopping = true;
      job.stoppingTasks++;
    }
  }

  /** Takes back a decision to stop of which nothing was sent yet. */
  void revokeStop() {
    if (stopping) {
      stopping = false;
      job.stoppingTasks--;
    }
    withoutSave = false;
  }

  /** The reservation is over, so that its task does not count as stopping any more. */
  void onRemoved() {
    job.stoppingTasks -= stopping ? 1 : 0;
  }

  /** The task ends at once when it is stopped, or while it saves. */
  void skipSave() {
    withoutSave = true;
  }

  boolean isStopping() {
    return stopping;
  }

  /** The time that the task gets to save when it is told to stop. */
  double stopGraceS() {
    return withoutSave ? 0 : job.stopGraceS();
  }

  /** The machine reports that the task is saving, because it was told to stop. */
  void onSavingReported(long nowMs) {
    if (savingSinceMs == 0) {
      savingSinceMs = nowMs;
    }
  }

  /** Whether the task has been saving for longer than it should take, and this much longer. */
  boolean isSaveOverdue(long nowMs, long marginMs) {
    long saveMs = (long) (job.spec.saveDurationS() * 1000);
    return savingSinceMs > 0 && nowMs - savingSinceMs > saveMs + marginMs;
  }

  /** Whether this leader has seen the task start, so that it knows for how long it has run. */
  boolean isStartObserved() {
    return startToken > 0 && runningSinceMs > 0;
  }

  boolean canStart() {
    return committed && !stopping && !job.cancelled && reportedState == null;
  }

  /** Whether the task is wanted where it is. */
  boolean isDesired() {
    return !stopping && !job.cancelled;
  }
}
