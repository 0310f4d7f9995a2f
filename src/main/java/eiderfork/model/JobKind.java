package eiderfork.model;

/** The kind of a job: how its tasks depend on each other and when they end. */
public enum JobKind {
  /** Independent tasks that run to completion. */
  ARRAY,
  /** Tasks that are scheduled all together or not at all, and run to completion. */
  GANG,
  /** Replicas that run until the job is cancelled. */
  SERVICE
}
