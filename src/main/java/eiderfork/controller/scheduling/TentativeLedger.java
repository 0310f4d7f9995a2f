package eiderfork.controller.scheduling;

import eiderfork.controller.quota.QuotaLedger;
import eiderfork.controller.quota.TeamId;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.Reservation;
import java.util.HashSet;
import java.util.Set;

/** The quota ledger as it would be without the victims included on the machine that is examined. */
final class TentativeLedger {
  private final TeamUsageTracker teamUsage;

  /** Null while no victim is included. */
  private QuotaLedger ledger;

  private final Set<JobState> gangs = new HashSet<>();

  TentativeLedger(TeamUsageTracker teamUsage) {
    this.teamUsage = teamUsage;
  }

  /** Begins with another machine, without victims. */
  void begin() {
    ledger = null;
    gangs.clear();
  }

  /** Whether some victim is included. */
  boolean hasVictims() {
    return ledger != null;
  }

  /** Whether the job is a gang of which a task is included, and all others with it. */
  boolean includesGang(JobState job) {
    return gangs.contains(job);
  }

  /** The ledger without the victims included so far. */
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
