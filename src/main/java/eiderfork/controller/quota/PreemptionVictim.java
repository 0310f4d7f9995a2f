package eiderfork.controller.quota;

import eiderfork.model.JobKind;
import eiderfork.model.Priority;

/**
 * Work that may be preempted.
 *
 * @param amount what ends with it: one task, or all tasks of a gang
 */
public record PreemptionVictim(TeamId team, JobKind kind, Priority priority, QuotaAmount amount) {
  /** Whether it is batch work, which can run again later, and not a replica. */
  public boolean isBatch() {
    return kind != JobKind.SERVICE;
  }
}
