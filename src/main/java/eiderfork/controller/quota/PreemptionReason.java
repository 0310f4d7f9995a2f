package eiderfork.controller.quota;

/** Why work may be stopped for a job. */
public enum PreemptionReason {
  /** The job's team gets its guarantee from what another team uses beyond its own. */
  GUARANTEE,
  /** The job has the higher priority. */
  PRIORITY
}
