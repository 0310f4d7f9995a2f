package eiderfork.controller.quota;

/** The decision on whether a victim may be preempted for a preemptor. */
public sealed interface PreemptionDecision {
  /** The victim may be preempted. */
  record Allowed(PreemptionReason reason, VictimPreference preference)
      implements PreemptionDecision {}

  /** The victim may not be preempted. */
  record Refused(Refusal reason) implements PreemptionDecision {}

  /** The reason why a victim may not be preempted. */
  enum Refusal {
    /** The preemptor has no precedence by priority and does not reclaim its team's guarantee. */
    NOT_MORE_URGENT,
    /** The victim's team would lose guaranteed quota to a preemptor beyond its own guarantee. */
    LENDER_AT_GUARANTEE,
    /** The victim belongs to the preemptor's team, and the preemptor has no precedence. */
    SAME_TEAM,
    /** The victim is a replica, and a new machine may still boot for the preemptor. */
    REPLICA_NOT_YET
  }
}
