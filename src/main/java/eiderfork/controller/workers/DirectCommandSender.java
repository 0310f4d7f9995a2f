package eiderfork.controller.workers;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.WorkerCommand;

/**
 * Sends commands directly to workers' own addresses when waiting for the next heartbeat would take
 * too long.
 */
final class DirectCommandSender {
  /** The timeout of a direct command's reply, in steps. */
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

  /** Records the start of a term. */
  void onElected() {
    electedMs = context.nowMs();
  }

  /**
   * Sends direct commands to the machines that need them. The number of concurrent connections is
   * limited because sockets are scarce: after a failover, every worker connects to the new leader
   * while the leader sends commands. A new term is introduced to further workers only while more
   * than half of the connections are free, so that the rest is reserved for commands.
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

  private void contactIfDue(MachineState machine, boolean canIntroduceTerm) {
    if (!liveness.hasTokenOfTerm(machine)) {
      if (canIntroduceTerm
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

  /**
   * Contacts a worker directly so that it sees a fencing token of this term soon, and stops
   * accepting the tokens of earlier leaders.
   */
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

  /**
   * Sends the commands that cannot wait for the next heartbeat, which are all except clears and
   * starts that may not be sent directly. If there are none, a raised fencing token is still sent.
   */
  private void sendCommands(MachineState machine) {
    boolean isTokenRaised =
        machine.commandChannel().fencingToken() > machine.lastHeartbeat().fencingToken();
    ImmutableList<WorkerCommand> urgent =
        commandBuilder.build(machine).stream()
            .filter(command -> isSentDirectly(command, machine))
            .collect(ImmutableList.toImmutableList());
    if (urgent.isEmpty() && !isTokenRaised) {
      return;
    }
    if (urgent.stream().anyMatch(WorkerCommand.Run.class::isInstance)) {
      machine.commandChannel().recordDirectStart();
    }
    send(machine, urgent);
  }

  private boolean isSentDirectly(WorkerCommand command, MachineState machine) {
    return !(command instanceof WorkerCommand.Clear)
        && (!(command instanceof WorkerCommand.Run) || permission.canStartDirectly(machine));
  }

  private void send(MachineState machine, ImmutableList<WorkerCommand> commands) {
    machine.commandChannel().onDirectCommandSent();
    leaseLog.logCommandsSent(machine, commands, true);
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
    long reportedToken = reply.heartbeat().fencingToken();
    if (reportedToken >= election.firstFencingTokenOfNextTerm()) {
      election.observeTerm(reportedToken >> LeaderElection.TOKEN_SEQUENCE_BITS);
      return;
    }
    heartbeatRecorder.record(machine, reply.heartbeat(), true);
    machine.commandChannel().issueOrAdoptToken(election.firstFencingToken() + 1, reportedToken);
    if (!reply.executed()) {
      machine.requestCommand();
    }
  }

  /**
   * Raises the fencing token, because the worker may still execute the commands that got no reply;
   * a higher token prevents this. The next direct command is delayed by one to two steps.
   */
  private void onNoReply(MachineState machine, long sentToken) {
    if (sentToken > 0) {
      reconciler.raiseFencingToken(machine);
      machine.commandChannel().clearCommandDue();
    }
    long pauseMs = context.stepMs() + context.random.nextLong(context.stepMs());
    machine.commandChannel().onNoReply(context.nowMs() + pauseMs);
  }
}
