package eiderfork.controller.scheduling;

/** Whether a scheduling round has something to do; whatever gives it work requests one. */
public final class RoundTrigger {
  private boolean requested;

  /** Something changed that a round should see soon. */
  public void request() {
    requested = true;
  }

  /** Whether a round is requested. */
  public boolean isRequested() {
    return requested;
  }

  /** A round was run; what was requested until now is part of it. */
  public void recordRound(boolean anotherNeeded) {
    requested = anotherNeeded;
  }
}
