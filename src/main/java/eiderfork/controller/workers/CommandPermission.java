package eiderfork.controller.workers;

import eiderfork.controller.election.LeaderElection;

/**
 * Decides which commands this leader may send: only stops of cancelled jobs until its state has
 * been recovered.
 */
final class CommandPermission {
  private final LeaderElection election;
  private boolean recovered;

  CommandPermission(LeaderElection election) {
    this.election = election;
  }

  /** Marks the state as not recovered at the start of a term. */
  void onElected() {
    recovered = false;
  }

  /** Marks the leader's state as recovered from the store. */
  void onRecovered() {
    recovered = true;
  }

  /** Returns whether the leader's state has been recovered from the store. */
  boolean isRecovered() {
    return recovered;
  }

  /**
   * Returns whether all kinds of commands may be sent. Stops of cancelled jobs need no permission.
   */
  boolean canCommand() {
    return election.isLeaseValid() && recovered;
  }
}
