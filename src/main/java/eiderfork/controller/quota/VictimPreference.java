package eiderfork.controller.quota;

/** Which work is preempted first; the next kind only where those before it free too little. */
public enum VictimPreference {
  /** Batch work without which its team still uses its whole guarantee. */
  BORROWED_BATCH,
  /**
   * A large task or a gang that exceeds its team's guarantee in part only, so that the team can't
   * run it within its guarantee.
   */
  PARTLY_BORROWED_BATCH,
  /** Less urgent batch work within the guarantee of its team. */
  GUARANTEED_BATCH,
  /** Replicas that exceed the guarantee of their team. */
  BORROWED_REPLICA
}
