package eiderfork.controller.workers;

import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.registry.MachineState;

/**
 * Decides which commands this leader may send: only stops of cancelled jobs until its state has
 * been recovered.
 */
final class CommandPermission {
  private final ControllerContext context;
  private final LeaderElection election;
  private final ClusterVersion version;
  private boolean recovered;

  CommandPermission(ControllerContext context, LeaderElection election, ClusterVersion version) {
    this.context = context;
    this.election = election;
    this.version = version;
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

  /**
   * Returns whether a start may be sent to the machine in a direct command, which the network may
   * hold back for any time. A lease proxy makes the worker reject such a start, but not before all
   * members run the version that raises tokens. Until then, starts for machines that a node of
   * another zone may answer wait for the next heartbeat: a worker drops late responses.
   */
  boolean canStartDirectly(MachineState machine) {
    String zone = machine.zone();
    boolean mayBeProxied =
        !zone.equals(context.settings.zone()) && context.settings.peerZones().containsValue(zone);
    return !mayBeProxied || version.isMinimumVersion(ClusterVersion.ADOPTED_TOKENS);
  }
}
