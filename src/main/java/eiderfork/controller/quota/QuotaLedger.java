package eiderfork.controller.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The accounts of all teams, brought along within a plan: a victim is judged after those that were
 * chosen before it.
 */
public final class QuotaLedger {
  private final Map<TeamId, TeamUsage> accounts = new HashMap<>();

  /** Begins with these accounts. */
  public QuotaLedger(Collection<TeamUsage> accounts) {
    accounts.forEach(account -> this.accounts.put(account.team(), account));
  }

  private QuotaLedger(Map<TeamId, TeamUsage> accounts) {
    this.accounts.putAll(accounts);
  }

  /** The account of a team, or null. */
  public TeamUsage account(TeamId team) {
    return accounts.get(team);
  }

  /** All accounts. */
  public Collection<TeamUsage> accounts() {
    return List.copyOf(accounts.values());
  }

  /** A ledger that goes on from here and leaves this one as it is. */
  public QuotaLedger copy() {
    return new QuotaLedger(accounts);
  }

  /** Work of this size of a team is to be stopped. */
  public void addStopping(TeamId team, QuotaAmount stopped) {
    accounts.computeIfPresent(team, (id, account) -> account.withStopping(stopped));
  }

  /** Room of this size is being made, or was taken, for a team. */
  public void addPromised(TeamId team, QuotaAmount room) {
    accounts.computeIfPresent(team, (id, account) -> account.withPromised(room));
  }

  /** Whether any team but this one uses something beyond its guarantee. */
  public boolean hasOtherBorrower(TeamId team) {
    for (TeamUsage account : accounts.values()) {
      if (!account.team().equals(team)
          && account.guarantee().excess(account.usedAfterStopping()).isPositive()) {
        return true;
      }
    }
    return false;
  }
}
