package eiderfork.controller.quota;

/** The reasons for which a victim may be preempted. */
public enum PreemptionReason {
  /** The preemptor's team reclaims guaranteed quota that another team has borrowed. */
  GUARANTEE,
  /** The preemptor has the higher priority. */
  PRIORITY
}
