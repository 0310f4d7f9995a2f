package eiderfork.controller.workers;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.Heartbeat;

/**
 * Applies heartbeats to the leader's state, whether a worker sent them by itself or in reply to a
 * direct command.
 */
final class HeartbeatRecorder {
  private final ControllerContext context;
  private final LeaderElection election;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final WorkerLeaseLog leaseLog;
  private final CommandPermission permission;
  private final ReservationReconciler reconciler;

  HeartbeatRecorder(
      ControllerContext context,
      LeaderElection election,
      MachineRegistry fleet,
      MachineLiveness liveness,
      WorkerLeaseLog leaseLog,
      CommandPermission permission,
      ReservationReconciler reconciler) {
    this.context = context;
    this.election = election;
    this.fleet = fleet;
    this.liveness = liveness;
    this.leaseLog = leaseLog;
    this.permission = permission;
    this.reconciler = reconciler;
  }

  /**
   * Applies a heartbeat if it is newer than the machine's last one.
   *
   * @param isCommandReply whether the heartbeat is the reply to a direct command
   * @return whether the heartbeat was newer
   */
  boolean record(MachineState machine, Heartbeat heartbeat, boolean isCommandReply) {
    if (!machine.incarnation().isNewer(heartbeat)) {
      return false;
    }
    Heartbeat previous = machine.lastHeartbeat();
    boolean unchanged = isUnchanged(machine, heartbeat);
    recordIncarnation(
        machine, unchanged ? heartbeat.withTasks(previous.tasks()) : heartbeat, isCommandReply);
    machine.lifecycle().onHeartbeat(context.nowMs());
    machine.commandChannel().onHeartbeat(heartbeat.fencingToken(), context.nowMs());
    recordTokenOfTerm(machine, previous);
    if (permission.isRecovered() && !unchanged) {
      machine.recordReconciliation(false);
      reconciler.reconcile(machine);
    }
    invalidateSkippedSearches(machine);
    return true;
  }

  /**
   * Invalidates the results of searches that skipped the machine, once tasks can start on it again.
   */
  void invalidateSkippedSearches(MachineState machine) {
    if (machine.isSkippedBySearch() && liveness.isSchedulable(machine)) {
      machine.onSchedulableAgain();
    }
  }

  private void recordIncarnation(
      MachineState machine, Heartbeat heartbeat, boolean isCommandReply) {
    Heartbeat previous = machine.lastHeartbeat();
    long previousLeaseStartMs = machine.incarnation().leaseStartMs();
    boolean isFirst = fleet.recordHeartbeat(machine, heartbeat);
    if (isFirst && previous != null) {
      leaseLog.recordIncarnationStart(
          machine, previous.incarnation(), previousLeaseStartMs, isCommandReply);
    }
  }

  /**
   * Records it if the worker has reported a fencing token of this term. From then on, only this
   * leader's responses renew the worker's lease.
   */
  private void recordTokenOfTerm(MachineState machine, Heartbeat previous) {
    if (!liveness.hasTokenOfTerm(machine)) {
      return;
    }
    if (previous == null || previous.fencingToken() < election.firstFencingToken()) {
      fleet.renewLease(machine);
    }
    fleet.indexes().recordCurrentTermToken(machine);
  }

  /**
   * Returns whether a heartbeat reports the same as the previous one, which matched the
   * reservations. Most heartbeats do, and then nothing but the time of the last contact has to be
   * updated.
   */
  private static boolean isUnchanged(MachineState machine, Heartbeat heartbeat) {
    Heartbeat previous = machine.lastHeartbeat();
    return machine.isReconciled()
        && heartbeat.incarnation() == previous.incarnation()
        && heartbeat.fencingToken() == previous.fencingToken()
        && heartbeat.terminationNoticeS() == null
        && heartbeat.tasks().equals(previous.tasks());
  }
}
