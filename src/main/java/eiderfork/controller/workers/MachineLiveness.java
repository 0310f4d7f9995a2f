package eiderfork.controller.workers;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.registry.MachineState;

/** Judges whether machines are reachable, take this leader's commands and may get tasks. */
public final class MachineLiveness {
  /** The longest time between two heartbeats of a worker, in heartbeat intervals. */
  private static final double MAX_HEARTBEAT_INTERVALS = 1.25;

  /** Allows for a heartbeat that was lost or went to another node first. */
  private static final double HEARTBEAT_GRACE_STEPS = 1.35;

  /** This many unanswered direct commands in a row make a machine unschedulable. */
  private static final int MAX_UNANSWERED_COMMANDS = 2;

  private final ControllerContext context;
  private final LeaderElection election;

  /** Judges machines by the terms of this election. */
  public MachineLiveness(ControllerContext context, LeaderElection election) {
    this.context = context;
    this.election = election;
  }

  /** After how long without a heartbeat a machine counts as silent. */
  public long heartbeatTimeoutMs() {
    return (long)
        (context.heartbeatIntervalMs() * MAX_HEARTBEAT_INTERVALS
            + context.stepMs() * HEARTBEAT_GRACE_STEPS);
  }

  /** Whether the worker has seen a token of this term, and so drops earlier leaders' commands. */
  boolean hasTokenOfTerm(MachineState machine) {
    return machine.lastHeartbeat() != null
        && machine.lastHeartbeat().fencingToken() >= election.firstFencingToken();
  }

  /** Whether the machine's newest heartbeat is recent enough that it is not silent. */
  public boolean hasRecentHeartbeat(MachineState machine) {
    return machine.incarnation().lastHeartbeatMs() > 0
        && context.nowMs() - machine.incarnation().lastHeartbeatMs() <= heartbeatTimeoutMs();
  }

  /** How long ago the machine last sent a heartbeat or was answered in this term. */
  public long timeSinceLastContactMs(MachineState machine) {
    return context.nowMs()
        - Math.max(machine.incarnation().lastHeartbeatMs(), machine.incarnation().leaseStartMs());
  }

  /** Whether heartbeats arrive from the machine but commands do not reach it. */
  public boolean isUnresponsive(MachineState machine) {
    return machine.commandChannel().unresponsiveSinceMs() > 0
        && context.nowMs() - machine.commandChannel().unresponsiveSinceMs() > heartbeatTimeoutMs();
  }

  /**
   * Whether tasks may start on the machine. The lease must be valid, too: a worker that is reached
   * by direct commands alone still sends heartbeats after its lease has expired, and what would
   * start then would be settled together with the tasks that the expiry has ended.
   */
  public boolean isSchedulable(MachineState machine) {
    return isInService(machine)
        && hasRecentHeartbeat(machine)
        && !isUnresponsive(machine)
        && machine.commandChannel().unansweredCommands() < MAX_UNANSWERED_COMMANDS
        && !mayLeaseHaveExpired(machine);
  }

  private boolean mayLeaseHaveExpired(MachineState machine) {
    return machine.incarnation().mayLeaseHaveExpired(context.nowMs(), context.workerLeaseMs());
  }

  /**
   * Whether capacity that is being freed on the machine may be waited for: the machine is in
   * service and has answered all commands. It may be silent: after a failover workers send no
   * heartbeat for seconds while they look for the leader.
   */
  public boolean canHoldClaims(MachineState machine) {
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
