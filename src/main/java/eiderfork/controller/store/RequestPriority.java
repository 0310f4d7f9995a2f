package eiderfork.controller.store;

/** In what order calls to the state service go out when not all can. */
public enum RequestPriority {
  /** Grants and renewals of leases, elections, and what holds leases. */
  LEASE,
  /** Cancellations by users. */
  ABORT,
  /** Rents and returns: few, held down by the cloud's limit, and a boot's time ahead of starts. */
  FLEET,
  /** Submissions by users. */
  SUBMIT,
  /** Starts of services and gangs, and the ends of jobs: a user waits for each. */
  START,
  /** Starts of an array's tasks, and the ends of some of them. */
  BATCH,
  /** What is tidied up, and waits at no cost. */
  CLEANUP,
  /** Questions that a node answers from the state service. */
  READ
}
