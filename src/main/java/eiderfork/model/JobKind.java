package eiderfork.model;

/** How the tasks of a job depend on each other and when they end. */
public enum JobKind {
  /** Independent tasks, each of which runs to completion. */
  ARRAY,
  /** Tasks that run together or not at all, each to completion. */
  GANG,
  /** Replicas that run until the job is cancelled. */
  SERVICE
}
