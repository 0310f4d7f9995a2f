package eiderfork.controller.quota;

import eiderfork.controller.quota.PreemptionDecision.Allowed;
import eiderfork.controller.quota.PreemptionDecision.Refusal;
import eiderfork.controller.quota.PreemptionDecision.Refused;
import eiderfork.model.JobKind;

/**
 * The rules for preemption between teams that may borrow quota. There are two reasons to preempt: a
 * team reclaims guaranteed quota that another team has borrowed, or the preemptor has the higher
 * priority. No team loses guaranteed quota to work beyond another team's guarantee. Work that is
 * only partly borrowed and can't be preempted in part may be preempted for work within another
 * team's guarantee, but only as a last resort.
 */
public final class QuotaPreemptionRules {
  private QuotaPreemptionRules() {}

  /** Decides whether the victim may be preempted, given the usage in the ledger. */
  public static PreemptionDecision evaluate(
      Preemptor preemptor, PreemptionVictim victim, QuotaLedger ledger) {
    TeamUsage lender = ledger.usage(victim.team());
    boolean isSameTeam = preemptor.team().equals(victim.team());
    boolean isBorrowed =
        lender != null
            && lender.guarantee().isPartlyBorrowed(victim.amount(), lender.usedAfterStopping());
    if (!isSameTeam && preemptor.isWithinGuarantee() && isBorrowed) {
      return evaluateReclaim(preemptor, victim, lender);
    }
    return evaluatePriority(preemptor, victim, lender, isSameTeam);
  }

  private static PreemptionDecision evaluateReclaim(
      Preemptor preemptor, PreemptionVictim victim, TeamUsage lender) {
    if (victim.isBatch()) {
      boolean isWhollyBorrowed =
          lender.guarantee().isBorrowed(victim.amount(), lender.usedAfterStopping());
      return new Allowed(
          PreemptionReason.GUARANTEE,
          isWhollyBorrowed
              ? VictimPreference.BORROWED_BATCH
              : VictimPreference.PARTLY_BORROWED_BATCH);
    }
    return preemptor.hasWaitedForBoot()
        ? new Allowed(PreemptionReason.GUARANTEE, VictimPreference.BORROWED_REPLICA)
        : new Refused(Refusal.REPLICA_NOT_YET);
  }

  private static PreemptionDecision evaluatePriority(
      Preemptor preemptor, PreemptionVictim victim, TeamUsage lender, boolean isSameTeam) {
    boolean isMoreUrgent = victim.priority().compareTo(preemptor.priority()) > 0;
    // Arrays never preempt by priority; their priority only moves them ahead in the queue.
    if (!isMoreUrgent || !victim.isBatch() || preemptor.kind() == JobKind.ARRAY) {
      return new Refused(isSameTeam ? Refusal.SAME_TEAM : Refusal.NOT_MORE_URGENT);
    }
    boolean staysAtGuarantee =
        lender == null
            || lender.guarantee().isMetWithout(victim.amount(), lender.usedAfterStopping());
    if (isSameTeam || staysAtGuarantee) {
      return new Allowed(PreemptionReason.PRIORITY, VictimPreference.BORROWED_BATCH);
    }
    return preemptor.isWithinGuarantee()
        ? new Allowed(PreemptionReason.PRIORITY, VictimPreference.GUARANTEED_BATCH)
        : new Refused(Refusal.LENDER_AT_GUARANTEE);
  }
}
