package eiderfork.core;

import eiderfork.model.Attempt;
import eiderfork.model.TaskId;
import eiderfork.model.TaskReport;

/** A task's reservation on a machine, from the round that proposes it until it is settled. */
final class Reservation {
  final JobEntry job;
  final int index;
  final long attempt;
  final MachineEntry machine;

  /** The reservation stands in the state service; nothing is sent before. */
  boolean committed;

  /** The task is to be stopped; it is not started again under this reservation. */
  boolean stopping;

  /** The last state seen of it on the machine, null for none. */
  TaskReport.State seen;

  /** The largest token and session that its start was sent with; 0 for never in this term. */
  long sentToken;

  long sentSession;

  /** When the task was first seen running, 0 for not yet. */
  long runningSinceMs;

  Reservation(JobEntry job, int index, long attempt, MachineEntry machine) {
    this.job = job;
    this.index = index;
    this.attempt = attempt;
    this.machine = machine;
  }

  Attempt id() {
    return new Attempt(new TaskId(job.job.uid(), index), attempt);
  }

  boolean mayStart() {
    return committed && !stopping && !job.aborted && seen == null;
  }

  /** Whether the task is wanted where it is. */
  boolean wanted() {
    return !stopping && !job.aborted;
  }
}
