package eiderfork.controller.quota;

import eiderfork.model.JobKind;
import eiderfork.model.Priority;

/**
 * A candidate for preemption: a task or a whole gang.
 *
 * @param amount the quota that it uses: that of the task, or of all tasks of the gang
 */
public record PreemptionVictim(TeamId team, JobKind kind, Priority priority, QuotaAmount amount) {
  /** Returns whether the victim is batch work, which can run again later, and not a replica. */
  public boolean isBatch() {
    return kind != JobKind.SERVICE;
  }
}
