package eiderfork.controller.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The usage of all teams, including the preemptions of a plan that is being built, so that each
 * victim is evaluated with the earlier ones already stopping.
 */
public final class QuotaLedger {
  private final Map<TeamId, TeamUsage> usages = new HashMap<>();

  /** Creates a ledger that starts from these usages. */
  public QuotaLedger(Collection<TeamUsage> usages) {
    usages.forEach(usage -> this.usages.put(usage.team(), usage));
  }

  /** The usage of a team; null if it is not known. */
  public TeamUsage usage(TeamId team) {
    return usages.get(team);
  }

  /** Returns an independent copy of this ledger. */
  public QuotaLedger copy() {
    return new QuotaLedger(usages.values());
  }

  /** Records that work of a team with this amount is to be stopped. */
  public void addStopping(TeamId team, QuotaAmount stopped) {
    usages.computeIfPresent(team, (id, usage) -> usage.withStopping(stopped));
  }

  /** Returns whether any other team uses more than its guarantee. */
  public boolean hasOtherBorrower(TeamId team) {
    for (TeamUsage usage : usages.values()) {
      if (!usage.team().equals(team)
          && usage.guarantee().excess(usage.usedAfterStopping()).isPositive()) {
        return true;
      }
    }
    return false;
  }
}
