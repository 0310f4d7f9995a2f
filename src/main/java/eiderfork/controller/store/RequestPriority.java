package eiderfork.controller.store;

/**
 * The priorities of requests to the store, highest first, used when its rate limits delay requests.
 */
public enum RequestPriority {
  /** Lease grants and renewals, and elections. */
  LEASE,
  /** Cancellations by users. */
  ABORT,
  /**
   * Scale-out and scale-in intents. They are few because the cloud's rate limit bounds them, and
   * come before starts because a machine has to boot before tasks can start on it.
   */
  FLEET,
  /** Submissions by users. */
  SUBMIT,
  /** Starts of services and gangs, and completions of jobs, each of which a user waits for. */
  START,
  /** Starts of array tasks, and ends of array tasks that do not complete their job. */
  BATCH,
  /** Cleanup, which can be delayed at no cost. */
  CLEANUP,
  /** Queries that a node answers from the store. */
  READ
}
