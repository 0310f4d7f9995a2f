package eiderfork.controller.scheduling;

import eiderfork.controller.quota.QuotaLedger;
import eiderfork.controller.quota.TeamId;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.Reservation;
import java.util.HashSet;
import java.util.Set;

/**
 * The quota ledger as it would be after preempting the victims included on the machine under
 * examination.
 */
final class TentativeLedger {
  private final TeamUsageTracker teamUsage;

  /** The modified ledger; null while no victim is included. */
  private QuotaLedger ledger;

  private final Set<JobState> gangs = new HashSet<>();

  TentativeLedger(TeamUsageTracker teamUsage) {
    this.teamUsage = teamUsage;
  }

  /** Begins the evaluation of another machine with no victims. */
  void begin() {
    ledger = null;
    gangs.clear();
  }

  /** Returns whether any victim is included. */
  boolean hasVictims() {
    return ledger != null;
  }

  /** Returns whether the job is a gang that is included as a whole because of one of its tasks. */
  boolean includesGang(JobState job) {
    return gangs.contains(job);
  }

  /** Returns the ledger without the victims included so far. */
  QuotaLedger ledger() {
    return ledger == null ? teamUsage.ledger() : ledger;
  }

  /** Includes a task, or the whole gang that it belongs to. */
  void include(Reservation victim) {
    ledger = ledger().copy();
    ledger.addStopping(
        new TeamId(victim.job().spec().team()), DeferredPreemptions.amountFreedBy(victim));
    if (victim.job().gang() != null) {
      gangs.add(victim.job());
    }
  }
}
