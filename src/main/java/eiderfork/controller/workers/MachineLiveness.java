package eiderfork.controller.workers;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.registry.MachineState;

/** Determines whether machines are reachable, execute this leader's commands and may get tasks. */
public final class MachineLiveness {
  /**
   * The longest time between two heartbeats of a worker, as a multiple of the heartbeat interval.
   */
  private static final double MAX_HEARTBEAT_INTERVALS = 1.25;

  /** Additional time for a heartbeat that was lost or that went to another node first, in steps. */
  private static final double HEARTBEAT_GRACE_STEPS = 1.35;

  /** The number of consecutive unanswered direct commands that makes a machine unschedulable. */
  private static final int MAX_UNANSWERED_COMMANDS = 2;

  private final ControllerContext context;
  private final LeaderElection election;

  /** Creates an instance that takes this leader's term from the given election. */
  public MachineLiveness(ControllerContext context, LeaderElection election) {
    this.context = context;
    this.election = election;
  }

  /** Returns the time without a heartbeat after which a machine counts as silent. */
  public long heartbeatTimeoutMs() {
    return (long)
        (context.heartbeatIntervalMs() * MAX_HEARTBEAT_INTERVALS
            + context.stepMs() * HEARTBEAT_GRACE_STEPS);
  }

  /**
   * Returns whether the worker has reported a fencing token of this term, and so rejects commands
   * of earlier leaders.
   */
  boolean hasTokenOfTerm(MachineState machine) {
    return machine.lastHeartbeat() != null
        && machine.lastHeartbeat().fencingToken() >= election.firstFencingToken();
  }

  /** Returns whether the machine's newest heartbeat is within the heartbeat timeout. */
  public boolean hasRecentHeartbeat(MachineState machine) {
    return machine.incarnation().lastHeartbeatMs() > 0
        && context.nowMs() - machine.incarnation().lastHeartbeatMs() <= heartbeatTimeoutMs();
  }

  /** Returns the time since the machine last sent a heartbeat or was answered in this term. */
  public long timeSinceLastContactMs(MachineState machine) {
    return context.nowMs()
        - Math.max(machine.incarnation().lastHeartbeatMs(), machine.incarnation().leaseStartMs());
  }

  /**
   * Returns whether the machine sends heartbeats but commands have not reached it for longer than
   * the heartbeat timeout.
   */
  public boolean isUnresponsive(MachineState machine) {
    return machine.commandChannel().unresponsiveSinceMs() > 0
        && context.nowMs() - machine.commandChannel().unresponsiveSinceMs() > heartbeatTimeoutMs();
  }

  /**
   * Returns whether tasks may start on the machine. This requires a lease that is still valid. A
   * worker that is reached by direct commands alone still sends heartbeats after its lease has
   * expired, and a task started then would be settled together with the tasks that the expiry has
   * ended.
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
   * Returns whether it makes sense to wait for capacity that is being freed on the machine: the
   * machine is in service and has answered all commands. It may be silent, because after a failover
   * workers send no heartbeat for seconds while they look for the leader.
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
