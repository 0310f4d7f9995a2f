package eiderfork.controller.quota;

import eiderfork.controller.quota.PreemptionDecision.Allowed;
import eiderfork.controller.quota.PreemptionDecision.Refusal;
import eiderfork.controller.quota.PreemptionDecision.Refused;
import eiderfork.model.JobKind;

/**
 * Who may reclaim from whom. The protocol has two grounds: a higher priority, and a team's
 * guarantee against what another team runs beyond its own. No team is brought below its guarantee
 * for work that lies beyond another's. What can't be stopped in part, and lies beyond the guarantee
 * in part only, may be stopped for work within another's guarantee once nothing else would do.
 */
public final class QuotaPreemptionRules {
  private QuotaPreemptionRules() {}

  /** Whether the victim may be stopped for the taker, as the ledger stands now. */
  public static PreemptionDecision evaluate(
      Preemptor preemptor, PreemptionVictim victim, QuotaLedger ledger) {
    TeamUsage lender = ledger.account(victim.team());
    boolean sameTeam = preemptor.team().equals(victim.team());
    boolean borrowed =
        lender != null
            && lender.guarantee().isPartlyBorrowed(victim.amount(), lender.usedAfterStopping());
    if (!sameTeam && preemptor.isWithinGuarantee() && borrowed) {
      return byGuarantee(preemptor, victim, lender);
    }
    return byPriority(preemptor, victim, lender, sameTeam);
  }

  private static PreemptionDecision byGuarantee(
      Preemptor preemptor, PreemptionVictim victim, TeamUsage lender) {
    if (victim.isBatch()) {
      boolean wholly = lender.guarantee().isBorrowed(victim.amount(), lender.usedAfterStopping());
      return new Allowed(
          PreemptionReason.GUARANTEE,
          wholly ? VictimPreference.BORROWED_BATCH : VictimPreference.PARTLY_BORROWED_BATCH);
    }
    return preemptor.hasWaitedForBoot()
        ? new Allowed(PreemptionReason.GUARANTEE, VictimPreference.BORROWED_REPLICA)
        : new Refused(Refusal.REPLICA_NOT_YET);
  }

  private static PreemptionDecision byPriority(
      Preemptor preemptor, PreemptionVictim victim, TeamUsage lender, boolean sameTeam) {
    boolean moreUrgent = victim.priority().compareTo(preemptor.priority()) > 0;
    // Arrays stop nothing for their priority alone: their turn comes.
    if (!moreUrgent || !victim.isBatch() || preemptor.kind() == JobKind.ARRAY) {
      return new Refused(sameTeam ? Refusal.SAME_TEAM : Refusal.NOT_MORE_URGENT);
    }
    boolean keepsGuarantee =
        lender == null
            || lender.guarantee().isMetWithout(victim.amount(), lender.usedAfterStopping());
    if (sameTeam || keepsGuarantee) {
      return new Allowed(PreemptionReason.PRIORITY, VictimPreference.BORROWED_BATCH);
    }
    return preemptor.isWithinGuarantee()
        ? new Allowed(PreemptionReason.PRIORITY, VictimPreference.GUARANTEED_BATCH)
        : new Refused(Refusal.LENDER_AT_GUARANTEE);
  }
}
