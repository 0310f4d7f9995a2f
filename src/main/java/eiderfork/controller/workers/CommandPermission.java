package eiderfork.controller.workers;

import eiderfork.controller.election.LeaderElection;

/** Which commands this leader may send: only stops before its state is recovered. */
final class CommandPermission {
  private final LeaderElection election;
  private boolean recovered;

  CommandPermission(LeaderElection election) {
    this.election = election;
  }

  /** A term begins, in which nothing is recovered yet. */
  void onElected() {
    recovered = false;
  }

  /** The leader's state is recovered from the store. */
  void onRecovered() {
    recovered = true;
  }

  /** Whether the leader's state is recovered from the store. */
  boolean isRecovered() {
    return recovered;
  }

  /** Whether any command may be sent; stops of cancelled jobs need no permission. */
  boolean canCommand() {
    return election.isLeaseValid() && recovered;
  }
}
