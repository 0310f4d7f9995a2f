package eiderfork.controller.scheduling;

/**
 * Tracks whether a scheduling round is needed. Components request a round when they create work for
 * it.
 */
public final class RoundTrigger {
  private boolean isRequested;

  /** Requests a round. */
  public void request() {
    isRequested = true;
  }

  /** Returns whether a round is requested. */
  public boolean isRequested() {
    return isRequested;
  }

  /**
   * Records that a round has run and handled all earlier requests.
   *
   * @param anotherNeeded whether the round left work for a later one
   */
  public void recordRound(boolean anotherNeeded) {
    isRequested = anotherNeeded;
  }
}
