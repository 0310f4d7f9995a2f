package eiderfork.controller.quota;

/** Whether some work may be stopped for a job. */
public sealed interface PreemptionDecision {
  /** It may. */
  record Allowed(PreemptionReason reason, VictimPreference preference)
      implements PreemptionDecision {}

  /** It may not. */
  record Refused(Refusal reason) implements PreemptionDecision {}

  /** Why it may not be stopped. */
  enum Refusal {
    /** It is as urgent, and the job is not within its team's guarantee. */
    NOT_MORE_URGENT,
    /** Its team would be brought below its guarantee for work that is beyond the taker's. */
    LENDER_AT_GUARANTEE,
    /** It belongs to the same team and is not less urgent. */
    SAME_TEAM,
    /** A replica, while a machine may still come for the job. */
    REPLICA_NOT_YET
  }
}
