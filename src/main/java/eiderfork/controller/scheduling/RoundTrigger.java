package eiderfork.controller.scheduling;

/** Whether a scheduling round has something to do; whatever gives it work requests one. */
public final class RoundTrigger {
  private boolean isRequested;

  /** Something changed that a round should see soon. */
  public void request() {
    isRequested = true;
  }

  /** Whether a round is requested. */
  public boolean isRequested() {
    return isRequested;
  }

  /** A round was run; what was requested until now is part of it. */
  public void recordRound(boolean anotherNeeded) {
    isRequested = anotherNeeded;
  }
}
