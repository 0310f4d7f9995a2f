package eiderfork.controller.quota;

/** Whether some work may be preempted for a job. */
public sealed interface PreemptionDecision {
  /** It may be preempted. */
  record Allowed(PreemptionReason reason, VictimPreference preference)
      implements PreemptionDecision {}

  /** It may not be preempted. */
  record Refused(Refusal reason) implements PreemptionDecision {}

  /** Why it may not be preempted. */
  enum Refusal {
    /** It is not less urgent, and not borrowed from the guarantee of the job's team. */
    NOT_MORE_URGENT,
    /** Its team would lose part of its guarantee to work beyond the preemptor's guarantee. */
    LENDER_AT_GUARANTEE,
    /** It belongs to the same team and is not less urgent. */
    SAME_TEAM,
    /** It is a replica, and a new machine may still boot for the job. */
    REPLICA_NOT_YET
  }
}
