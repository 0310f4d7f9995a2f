package eiderfork.controller.workers;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.WorkerCommand;

/** Sends commands to workers' own addresses where the next heartbeat would be too late. */
final class DirectCommandSender {
  /** How long a direct command waits for its reply, in steps. */
  private static final int REPLY_TIMEOUT_STEPS = 2;

  private final ControllerContext context;
  private final LeaderElection election;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final WorkerLeaseLog leaseLog;
  private final CommandPermission permission;
  private final ReservationReconciler reconciler;
  private final CommandBuilder commandBuilder;
  private final HeartbeatRecorder heartbeatRecorder;
  private long electedMs;

  DirectCommandSender(
      ControllerContext context,
      LeaderElection election,
      MachineRegistry fleet,
      MachineLiveness liveness,
      WorkerLeaseLog leaseLog,
      CommandPermission permission,
      ReservationReconciler reconciler,
      CommandBuilder commandBuilder,
      HeartbeatRecorder heartbeatRecorder) {
    this.context = context;
    this.election = election;
    this.fleet = fleet;
    this.liveness = liveness;
    this.leaseLog = leaseLog;
    this.permission = permission;
    this.reconciler = reconciler;
    this.commandBuilder = commandBuilder;
    this.heartbeatRecorder = heartbeatRecorder;
  }

  /** A term begins. */
  void onElected() {
    electedMs = context.nowMs();
  }

  /**
   * Contacts the machines that need it. Connections are bounded: after a failover every worker
   * connects to the new leader while it sends commands, and sockets are scarce.
   */
  void sendDue() {
    int maxConnections = context.settings.controllerResources().maxOutboundConnections();
    int freeConnections = maxConnections - fleet.indexes().commandsInFlight();
    int reservedForCommands = maxConnections / 2;
    for (int number : fleet.indexes().machinesToContact()) {
      if (freeConnections <= 0) {
        return;
      }
      MachineState machine = fleet.get(number);
      if (machine.address() == null
          || !machine.commandChannel().canSendDirectCommand(context.nowMs())) {
        continue;
      }
      contactIfDue(machine, freeConnections > reservedForCommands);
      freeConnections -= machine.commandChannel().isCommandInFlight() ? 1 : 0;
    }
  }

  private void contactIfDue(MachineState machine, boolean canIntroduce) {
    if (!liveness.hasTokenOfTerm(machine)) {
      if (canIntroduce
          && !machine.lifecycle().isBooting()
          && context.nowMs() - electedMs > context.stepMs()) {
        introduceTerm(machine);
      }
    } else if (machine.commandChannel().isCommandDue() && liveness.hasRecentHeartbeat(machine)) {
      if (permission.canCommand()) {
        sendCommands(machine);
      } else {
        sendStops(machine);
      }
    }
  }

  /** Reaches a worker directly, so that an earlier leader's token ends there soon. */
  private void introduceTerm(MachineState machine) {
    if (machine.lastHeartbeat() == null) {
      machine.commandChannel().onDirectCommandSent();
      context.call(
          call -> new Effect.InspectWorker(call, machine.address(), replyTimeoutMs()),
          reply -> onReply(machine, reply, 0));
    } else {
      machine.commandChannel().raiseTokenTo(election.firstFencingToken() + 1);
      send(machine, ImmutableList.of());
    }
  }

  private void sendStops(MachineState machine) {
    ImmutableList<WorkerCommand> stops = commandBuilder.stopsOfCancelledJobs(machine);
    if (!stops.isEmpty()) {
      send(machine, stops);
    }
  }

  /** Sends what cannot wait for the next heartbeat: everything but clears. */
  private void sendCommands(MachineState machine) {
    boolean isTokenRaised =
        machine.commandChannel().fencingToken() > machine.lastHeartbeat().fencingToken();
    ImmutableList<WorkerCommand> urgent =
        commandBuilder.build(machine).stream()
            .filter(command -> !(command instanceof WorkerCommand.Clear))
            .collect(ImmutableList.toImmutableList());
    if (urgent.isEmpty() && !isTokenRaised) {
      return;
    }
    if (urgent.stream().anyMatch(WorkerCommand.Run.class::isInstance)) {
      machine.commandChannel().recordDirectStart();
    }
    send(machine, urgent);
  }

  private void send(MachineState machine, ImmutableList<WorkerCommand> commands) {
    machine.commandChannel().onDirectCommandSent();
    leaseLog.commandsSent(machine, commands, true);
    long token = machine.commandChannel().fencingToken();
    long incarnation = machine.incarnation().number();
    context.call(
        call ->
            new Effect.SendCommands(
                call, machine.address(), token, incarnation, commands, replyTimeoutMs()),
        reply -> onReply(machine, reply, token));
  }

  private long replyTimeoutMs() {
    return context.stepMs() * REPLY_TIMEOUT_STEPS;
  }

  private void onReply(MachineState machine, Reply reply, long sentToken) {
    if (fleet.get(machine.name()) != machine || !election.isLeading()) {
      return;
    }
    machine.commandChannel().onDirectCommandEnded();
    if (reply instanceof Reply.WorkerReply workerReply) {
      onWorkerReply(machine, workerReply);
    } else {
      onNoReply(machine, sentToken);
    }
  }

  private void onWorkerReply(MachineState machine, Reply.WorkerReply reply) {
    machine.commandChannel().onReply();
    long shownToken = reply.heartbeat().fencingToken();
    if (shownToken >= election.endOfFencingTokens()) {
      election.observeTerm(shownToken >> LeaderElection.TOKEN_SEQUENCE_BITS);
      return;
    }
    heartbeatRecorder.record(machine, reply.heartbeat(), true);
    machine.commandChannel().issueFirstToken(election.firstFencingToken() + 1);
    if (!reply.executed()) {
      machine.requestCommand();
    }
  }

  /** Unanswered commands may be executed yet; a higher token ends that. */
  private void onNoReply(MachineState machine, long sentToken) {
    if (sentToken > 0) {
      reconciler.raiseFencingToken(machine);
      machine.commandChannel().clearCommandDue();
    }
    long pauseMs = context.stepMs() + context.random.nextLong(context.stepMs());
    machine.commandChannel().onNoReply(context.nowMs() + pauseMs);
  }
}
