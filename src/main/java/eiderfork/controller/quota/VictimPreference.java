package eiderfork.controller.quota;

/** Which work is stopped first; the next kind only where the one before it makes no room. */
public enum VictimPreference {
  /** Batch work whose end leaves its team all of its guarantee. */
  BORROWED_BATCH,
  /**
   * Batch work that its team runs beyond its guarantee only in part: a large task, or a gang. The
   * team can't run it within its guarantee.
   */
  PARTLY_BORROWED_BATCH,
  /** Less urgent batch work within the guarantee of its team. */
  GUARANTEED_BATCH,
  /** Replicas that their team runs beyond its guarantee. */
  BORROWED_REPLICA
}
