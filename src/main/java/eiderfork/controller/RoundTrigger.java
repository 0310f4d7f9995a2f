package eiderfork.controller;

/** Whether a scheduling round has something to do; whatever gives it work requests one. */
final class RoundTrigger {
  private boolean requested;

  /** Something changed that a round should see soon. */
  void request() {
    requested = true;
  }

  /** Whether a round is requested. */
  boolean isRequested() {
    return requested;
  }

  /** A round was run; what was requested until now is part of it. */
  void recordRound(boolean anotherNeeded) {
    requested = anotherNeeded;
  }
}
