package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;

/** What the leader knows of whether machines are alive, obey it and may be given tasks. */
final class MachineLiveness {
  /**
   * A machine is silent after the longest time between two of its reports, which is a quarter over
   * the interval, and this many steps more, for a report that was lost or tried another node.
   */
  private static final double MAX_HEARTBEAT_INTERVALS = 1.25;

  private static final double HEARTBEAT_GRACE_STEPS = 1.35;

  private final ControllerContext context;
  private final LeaderElection election;

  MachineLiveness(ControllerContext context, LeaderElection election) {
    this.context = context;
    this.election = election;
  }

  /** How long the longest time between two reports of a machine that is heard is. */
  long heartbeatTimeoutMs() {
    return (long)
        (context.heartbeatIntervalMs() * MAX_HEARTBEAT_INTERVALS
            + context.stepMs() * HEARTBEAT_GRACE_STEPS);
  }

  /** Whether the worker takes this term's commands, so that no older leader can reach it. */
  boolean hasTokenOfTerm(MachineState machine) {
    return machine.lastHeartbeat() != null
        && machine.lastHeartbeat().fencingToken() >= election.firstFencingToken();
  }

  boolean hasRecentHeartbeat(MachineState machine) {
    return machine.incarnation().lastHeartbeatMs() > 0
        && context.nowMs - machine.incarnation().lastHeartbeatMs() <= heartbeatTimeoutMs();
  }

  /** How long ago the machine last reported or was answered in this term. */
  long sinceLastContactMs(MachineState machine) {
    return context.nowMs
        - Math.max(machine.incarnation().lastHeartbeatMs(), machine.incarnation().leaseStartMs());
  }

  /** Reports come but commands do not arrive. */
  boolean isUnresponsive(MachineState machine) {
    return machine.commandChannel().unresponsiveSinceMs() > 0
        && context.nowMs - machine.commandChannel().unresponsiveSinceMs() > heartbeatTimeoutMs();
  }

  /**
   * Whether tasks may be placed here. A worker that is reached by direct commands alone is heard
   * after its lease has lapsed; what started then was settled with what the lapse has ended.
   */
  boolean isSchedulable(MachineState machine) {
    return isInService(machine)
        && hasRecentHeartbeat(machine)
        && !isUnresponsive(machine)
        && machine.commandChannel().unansweredCommands() < 2
        && !mayLeaseHaveExpired(machine);
  }

  private boolean mayLeaseHaveExpired(MachineState machine) {
    return machine.incarnation().mayLeaseHaveExpired(context.nowMs, context.workerLeaseMs());
  }

  /**
   * Whether room that is being made here may be waited for: the machine is in service and has
   * answered what it was told. It need not be heard: after a takeover workers report to nobody for
   * seconds while they look for the leader.
   */
  boolean canHoldClaims(MachineState machine) {
    return isInService(machine) && machine.commandChannel().unansweredCommands() == 0;
  }

  private boolean isInService(MachineState machine) {
    return machine.capacity() != null
        && hasTokenOfTerm(machine)
        && !machine.lifecycle().isScalingIn()
        && !machine.lifecycle().isDraining()
        && !machine.failures().isFaulty()
        && machine.lastHeartbeat().terminationNoticeS() == null;
  }
}
