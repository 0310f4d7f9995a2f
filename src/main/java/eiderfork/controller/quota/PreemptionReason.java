package eiderfork.controller.quota;

/** Why work may be preempted for a job. */
public enum PreemptionReason {
  /** The job's team reclaims its guarantee from what another team has borrowed. */
  GUARANTEE,
  /** The job has the higher priority. */
  PRIORITY
}
