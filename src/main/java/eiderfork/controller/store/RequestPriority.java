package eiderfork.controller.store;

/** In what order requests to the store are sent while its limits hold some of them back. */
public enum RequestPriority {
  /** Grants and renewals of leases, and elections. */
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
  /** Cleanup, which waits at no cost. */
  CLEANUP,
  /** Queries that a node answers from the store. */
  READ
}
