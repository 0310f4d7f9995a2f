package eiderfork.controller.workers;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.registry.CommandChannel;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.Heartbeat;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;

/**
 * The leader's side of the worker protocol: answers heartbeats, and sends the commands that make
 * the tasks on each worker match the reservations on its machine.
 */
public final class WorkerCommander {
  private final ControllerContext context;
  private final LeaderElection election;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final LeaseExpiry leaseExpiry;
  private final WorkerLeaseLog leaseLog;
  private final CommandPermission permission;
  private final ReservationReconciler reconciler;
  private final CommandBuilder commandBuilder;
  private final HeartbeatRecorder heartbeatRecorder;
  private final DirectCommandSender directCommands;

  /**
   * Creates a commander that sends no commands until its node is elected and its state is
   * recovered.
   *
   * @param requestRound requests a scheduling round, called when there is something new to place
   */
  public WorkerCommander(
      ControllerContext context,
      LeaderElection election,
      JobRegistry jobs,
      MachineRegistry fleet,
      CancellationTracker cancellations,
      MachineLiveness liveness,
      LeaseExpiry leaseExpiry,
      WorkerLeaseLog leaseLog,
      ClusterVersion version,
      Runnable requestRound) {
    this.context = context;
    this.election = election;
    this.jobs = jobs;
    this.fleet = fleet;
    this.leaseExpiry = leaseExpiry;
    this.leaseLog = leaseLog;
    permission = new CommandPermission(context, election, version);
    reconciler = new ReservationReconciler(context, election, jobs, fleet, requestRound);
    commandBuilder = new CommandBuilder(context, jobs, cancellations, liveness, reconciler);
    heartbeatRecorder =
        new HeartbeatRecorder(context, election, fleet, liveness, leaseLog, permission, reconciler);
    directCommands =
        new DirectCommandSender(
            context,
            election,
            fleet,
            liveness,
            leaseLog,
            permission,
            reconciler,
            commandBuilder,
            heartbeatRecorder);
  }

  /** Starts a term in which this node leads and its state is not recovered yet. */
  public void onElected() {
    permission.onElected();
    leaseExpiry.onElected();
    leaseLog.reset();
    directCommands.onElected();
  }

  /** Allows all commands, once the leader's state is recovered from the store. */
  public void onRecovered() {
    permission.onRecovered();
  }

  /** Updates the reservations on a machine from its newest heartbeat. */
  public void reconcile(MachineState machine) {
    reconciler.reconcile(machine);
  }

  /** Handles a heartbeat that a worker sent to this node, which must be the leader. */
  public void handleHeartbeat(long ticket, Heartbeat heartbeat) {
    if (heartbeat.fencingToken() >= election.firstFencingTokenOfNextTerm()) {
      // The token was issued by a later leader, so this node's term is over.
      election.observeTerm(heartbeat.fencingToken() >> LeaderElection.TOKEN_SEQUENCE_BITS);
      context.emit(new Effect.RedirectWorker(ticket, null));
    } else if (fleet.isRemoved(heartbeat.machine().name())) {
      context.emit(new Effect.RedirectWorker(ticket, null));
    } else {
      respond(ticket, heartbeat);
    }
  }

  private void respond(long ticket, Heartbeat heartbeat) {
    MachineState machine = fleet.getOrRegister(heartbeat.machine());
    CommandChannel channel = machine.commandChannel();
    boolean isNewest = heartbeatRecorder.record(machine, heartbeat, false);
    channel.issueOrAdoptToken(election.firstFencingToken() + 1, heartbeat.fencingToken());
    fleet.renewLease(machine);
    heartbeatRecorder.invalidateSkippedSearches(machine);
    ImmutableList<WorkerCommand> commands = ImmutableList.of();
    // A response with commands could overtake direct commands that are in flight.
    if (isNewest && !machine.isReconciled() && !channel.isCommandInFlight()) {
      commands =
          permission.canCommand()
              ? commandBuilder.build(machine)
              : commandBuilder.stopsOfCancelledJobs(machine);
      leaseLog.logCommandsSent(machine, commands, false);
    }
    context.emit(new Effect.RespondToWorker(ticket, channel.fencingToken(), commands));
  }

  /**
   * Requests commands for the workers that report live tasks of a cancelled job. If the leader is
   * recovered and has the job in memory, its tasks are stopped through their reservations instead;
   * a task without a reservation is stopped at the next heartbeat.
   */
  public void onJobCancelled(String uid) {
    if (permission.isRecovered() && jobs.get(uid) != null) {
      return;
    }
    for (MachineState machine : fleet.machines()) {
      for (TaskStatus task : machine.reportedTasks()) {
        if (!task.hasEnded() && task.attempt().task().jobUid().equals(uid)) {
          machine.requestCommand();
        }
      }
    }
  }

  /** Settles expired leases, and sends the direct commands that are due. */
  public void tick() {
    if (permission.isRecovered()) {
      leaseExpiry.settleExpired();
    }
    leaseLog.logSummaryIfDue();
    directCommands.sendDue();
  }
}
