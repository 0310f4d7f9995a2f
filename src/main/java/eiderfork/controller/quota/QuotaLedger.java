package eiderfork.controller.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The usage of all teams, with the preemptions of a plan under way: each victim is judged after
 * those that were chosen before it.
 */
public final class QuotaLedger {
  private final Map<TeamId, TeamUsage> usages = new HashMap<>();

  /** Begins with these usages. */
  public QuotaLedger(Collection<TeamUsage> usages) {
    usages.forEach(usage -> this.usages.put(usage.team(), usage));
  }

  /** The usage of a team, or null. */
  public TeamUsage usage(TeamId team) {
    return usages.get(team);
  }

  /** A ledger that goes on from here and leaves this one as it is. */
  public QuotaLedger copy() {
    return new QuotaLedger(usages.values());
  }

  /** Records that work of this size of a team is to be stopped. */
  public void addStopping(TeamId team, QuotaAmount stopped) {
    usages.computeIfPresent(team, (id, usage) -> usage.withStopping(stopped));
  }

  /** Whether any team but this one uses something beyond its guarantee. */
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
