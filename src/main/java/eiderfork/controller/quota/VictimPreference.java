package eiderfork.controller.quota;

/**
 * The order in which victims are preempted: a kind is used only if those before it free too little
 * capacity.
 */
public enum VictimPreference {
  /** Batch work that can end while its team still uses its whole guarantee. */
  BORROWED_BATCH,
  /**
   * A large task or a gang that is only partly beyond its team's guarantee, so that the team can't
   * run it within the guarantee.
   */
  PARTLY_BORROWED_BATCH,
  /** Batch work of lower priority within the guarantee of its team. */
  GUARANTEED_BATCH,
  /** Replicas that are beyond the guarantee of their team. */
  BORROWED_REPLICA
}
