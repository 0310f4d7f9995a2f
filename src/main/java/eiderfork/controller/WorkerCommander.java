package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.model.Attempt;
import eiderfork.model.Heartbeat;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's dealings with workers: compares what is reserved with what is reported, and sends
 * the commands that bring the two together.
 */
final class WorkerCommander {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerCommander.class);

  /** How much longer than it should a save may take before it is given up, in steps. */
  static final int CHECKPOINT_MARGIN_STEPS = 3;

  private final ControllerContext context;
  private final LeaderElection election;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CancellationTracker cancellations;
  private final MachineLiveness liveness;
  private final LeaseExpiry leaseExpiry;
  private final WorkerLeaseLog leaseLog;
  private final ReservationReconciler reconciler;
  private boolean recovered;
  private long electedMs;

  WorkerCommander(
      ControllerContext context,
      LeaderElection election,
      JobRegistry jobs,
      MachineRegistry fleet,
      CancellationTracker cancellations,
      MachineLiveness liveness,
      LeaseExpiry leaseExpiry,
      WorkerLeaseLog leaseLog,
      Runnable requestRound) {
    this.context = context;
    this.election = election;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cancellations = cancellations;
    this.liveness = liveness;
    this.leaseExpiry = leaseExpiry;
    this.leaseLog = leaseLog;
    reconciler = new ReservationReconciler(context, election, jobs, fleet, requestRound);
  }

  void onElected() {
    recovered = false;
    leaseExpiry.onElected();
    leaseLog.reset();
    electedMs = context.nowMs;
  }

  /** Brings the reservations on a machine up to what its newest report shows. */
  void reconcile(MachineState machine) {
    reconciler.reconcile(machine);
  }

  void recovered() {
    recovered = true;
  }

  /** A worker reports to this node, which leads. */
  void handleHeartbeat(long ticket, Heartbeat heartbeat) {
    String name = heartbeat.machine().name();
    if (heartbeat.fencingToken() >= election.endOfFencingTokens()) {
      // Another leader rules this worker, so this one's term is over.
      election.observeTerm(heartbeat.fencingToken() >> LeaderElection.TOKEN_SEQUENCE_BITS);
      context.emit(new Effect.RedirectWorker(ticket, null));
      return;
    }
    if (fleet.isRemoved(name)) {
      context.emit(new Effect.RedirectWorker(ticket, null));
      return;
    }
    MachineState machine = fleet.getOrRegister(heartbeat.machine());
    boolean news = applyHeartbeat(machine, heartbeat, false);
    if (machine.fencingToken == 0) {
      machine.fencingToken = election.firstFencingToken() + 1;
    }
    fleet.renewLease(machine);
    reindexIfSchedulable(machine);
    // While direct commands are under way, the two ways could overtake each other.
    ImmutableList<WorkerCommand> commands = ImmutableList.of();
    if (news && !machine.reconciled && !machine.hasCommandInFlight()) {
      commands = canCommand() ? buildCommands(machine) : stopCommands(machine);
      leaseLog.commandsSent(machine, commands, false);
    }
    context.emit(new Effect.RespondToWorker(ticket, machine.fencingToken, commands));
  }

  /** Whether memory and lease allow any command; stopping what is cancelled asks for neither. */
  private boolean canCommand() {
    return election.isLeaseValid() && recovered;
  }

  /**
   * A job turned out to be cancelled: what machines show of it is to stop. Where memory holds the
   * job, its reservations tell where it runs, and what runs without one is stopped at the next
   * report anyhow.
   */
  void onJobCancelled(String uid) {
    if (recovered && jobs.get(uid) != null) {
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

  /**
   * The tasks of cancelled jobs, stopped at once. This is right without the state service and
   * before anything is rebuilt: a confirmed cancellation is final.
   */
  private ImmutableList<WorkerCommand> stopCommands(MachineState machine) {
    ImmutableList.Builder<WorkerCommand> list = ImmutableList.builder();
    for (TaskStatus task : machine.reportedTasks()) {
      if (!task.hasEnded() && cancellations.contains(task.attempt().task().jobUid())) {
        list.add(new WorkerCommand.Kill(task.attempt(), 0));
      }
    }
    return list.build();
  }

  /** Takes a report, or the one in a direct answer, if it is the newest; whether it was. */
  private boolean applyHeartbeat(MachineState machine, Heartbeat heartbeat, boolean byCommand) {
    if (!machine.incarnation.isNewer(heartbeat)) {
      return false;
    }
    Heartbeat previous = machine.lastHeartbeat();
    boolean sameTasks = isUnchanged(machine, heartbeat);
    long leaseBeforeMs = machine.incarnation.leaseStartMs();
    boolean begun =
        fleet.recordHeartbeat(
            machine, sameTasks ? heartbeat.withTasks(previous.tasks()) : heartbeat);
    if (begun && previous != null) {
      leaseLog.incarnationStarted(machine, previous.incarnation(), leaseBeforeMs, byCommand);
    }
    machine.lastAliveMs = context.nowMs;
    machine.booting = false;
    if (heartbeat.fencingToken() >= machine.fencingToken) {
      machine.unresponsiveSinceMs = 0;
      machine.unansweredCommands = 0;
    } else if (machine.unresponsiveSinceMs == 0) {
      machine.unresponsiveSinceMs = context.nowMs;
    }
    if (liveness.hasTokenOfTerm(machine)
        && (previous == null || previous.fencingToken() < election.firstFencingToken())) {
      // From here on only this term's answers renew the lease.
      fleet.renewLease(machine);
    }
    if (liveness.hasTokenOfTerm(machine)) {
      fleet.indexes().recordTokenOfTerm(machine);
    }
    if (recovered && !sameTasks) {
      machine.reconciled = false;
      reconciler.reconcile(machine);
    }
    reindexIfSchedulable(machine);
    return true;
  }

  /**
   * Whether a report has the tasks of the one before, which agreed with what is reserved. Most
   * reports do, and nothing follows from them but that the machine is alive.
   */
  private static boolean isUnchanged(MachineState machine, Heartbeat heartbeat) {
    Heartbeat previous = machine.lastHeartbeat();
    return machine.reconciled
        && heartbeat.incarnation() == previous.incarnation()
        && heartbeat.fencingToken() == previous.fencingToken()
        && heartbeat.terminationNoticeS() == null
        && heartbeat.tasks().equals(previous.tasks());
  }

  /** What searches have proved does not hold for a machine that they passed over. */
  private void reindexIfSchedulable(MachineState machine) {
    if (machine.skippedBySearch && liveness.isSchedulable(machine)) {
      machine.skippedBySearch = false;
      fleet.indexes().capacityIndex().capacityIncreased(machine);
    }
  }

  /** The commands that a worker needs now. */
  private ImmutableList<WorkerCommand> buildCommands(MachineState machine) {
    ImmutableList.Builder<WorkerCommand> list = ImmutableList.builder();
    Set<Attempt> held = new HashSet<>();
    for (Reservation reservation : machine.reservations) {
      if (reservation.isCommitted()) {
        held.add(reservation.toAttempt());
      }
    }
    boolean agrees = machine.reportedTasks().size() == machine.reservations.size();
    for (TaskStatus task : machine.reportedTasks()) {
      Attempt attempt = task.attempt();
      if (jobs.isFrozen(attempt.task().jobUid())) {
        agrees = false;
        continue;
      }
      JobState job = jobs.get(attempt.task().jobUid());
      Reservation reservation = job == null ? null : job.reservations().get(attempt.task().index());
      boolean ours = reservation != null && held.contains(attempt);
      agrees &= ours && reservation.isDesired() && reservation.job.gang == null && isActive(task);
      if (task.hasEnded()) {
        if (!ours
            && (job == null
                || !jobs.mustRetainAttempt(job, attempt.number(), attempt.task().index()))) {
          list.add(new WorkerCommand.Clear(attempt));
        }
      } else if (!ours) {
        list.add(new WorkerCommand.Kill(attempt, 0));
      } else if (!reservation.isDesired()) {
        list.add(
            new WorkerCommand.Kill(
                attempt, isCheckpointOverdue(reservation) ? 0 : reservation.stopGraceS()));
      }
    }
    boolean clears = list.build().stream().anyMatch(WorkerCommand.Clear.class::isInstance);
    if (clears && machine.fencingToken <= machine.directStartToken) {
      // A late copy of direct commands would start what is cleared anew.
      machine.fencingToken = machine.directStartToken + 1;
    }
    if (liveness.isSchedulable(machine)) {
      for (Reservation reservation : machine.reservations) {
        if (reservation.canStart() && !reservation.job.isCancelling()) {
          list.add(new WorkerCommand.Run(reservation.toAttempt()));
          reservation.onStartSent(machine.fencingToken, machine.incarnation.number());
          reconciler.recordImageUse(machine, reservation);
        }
      }
    }
    machine.clearCommandDue();
    machine.reconciled = agrees;
    return list.build();
  }

  /** A save that hangs is given up: its GPUs are wanted, and the task would never end. */
  private boolean isCheckpointOverdue(Reservation reservation) {
    return context.settings.operator().isLendingEnabled()
        && reservation.job.gang == null
        && reservation.isSaveOverdue(context.nowMs, CHECKPOINT_MARGIN_STEPS * context.stepMs());
  }

  private static boolean isActive(TaskStatus task) {
    return task.state() == TaskStatus.State.RUNNING || task.state() == TaskStatus.State.FETCHING;
  }

  void tick() {
    if (recovered) {
      leaseExpiry.settleExpired();
    }
    leaseLog.logSummaryIfDue();
    // Every worker turns to a new leader at once, and commands go out beside that; without a bound
    // on them the sockets ran out, and nobody could connect.
    int forCommands = context.settings.controllerResources().maxOutboundConnections() / 2;
    int free =
        context.settings.controllerResources().maxOutboundConnections()
            - fleet.indexes().commandsInFlight();
    for (int number : fleet.indexes().machinesToContact()) {
      if (free <= 0) {
        return;
      }
      MachineState machine = fleet.get(number);
      if (machine.address() == null
          || machine.hasCommandInFlight()
          || context.nowMs < machine.nextCommandMs) {
        continue;
      }
      if (machine.lastHeartbeat() == null || !liveness.hasTokenOfTerm(machine)) {
        // Reached directly, so that an older leader's token ends there soon.
        if (!machine.booting
            && context.nowMs - electedMs > context.stepMs()
            && free > forCommands) {
          contact(machine);
        }
      } else if (machine.isCommandDue() && liveness.hasRecentHeartbeat(machine)) {
        if (canCommand()) {
          sendCommands(machine);
        } else {
          sendStops(machine);
        }
      }
      free -= machine.hasCommandInFlight() ? 1 : 0;
    }
  }

  private void contact(MachineState machine) {
    machine.setCommandInFlight(true);
    if (machine.lastHeartbeat() == null) {
      context.call(
          call -> new Effect.InspectWorker(call, machine.address(), context.stepMs() * 2),
          reply -> handleDirectReply(machine, reply, 0));
    } else {
      machine.fencingToken = Math.max(machine.fencingToken, election.firstFencingToken() + 1);
      sendDirectly(machine, ImmutableList.of());
    }
  }

  private void sendStops(MachineState machine) {
    ImmutableList<WorkerCommand> stops = stopCommands(machine);
    if (!stops.isEmpty()) {
      machine.setCommandInFlight(true);
      sendDirectly(machine, stops);
    }
  }

  private void sendCommands(MachineState machine) {
    boolean raiseOnly = machine.fencingToken > machine.lastHeartbeat().fencingToken();
    ImmutableList<WorkerCommand> commands = buildCommands(machine);
    List<WorkerCommand> prompt = new ArrayList<>();
    for (WorkerCommand command : commands) {
      if (!(command instanceof WorkerCommand.Clear)) {
        prompt.add(command);
      }
    }
    if (prompt.isEmpty() && !raiseOnly) {
      return;
    }
    machine.setCommandInFlight(true);
    if (prompt.stream().anyMatch(WorkerCommand.Run.class::isInstance)) {
      machine.directStartToken = machine.fencingToken;
    }
    sendDirectly(machine, ImmutableList.copyOf(prompt));
  }

  private void sendDirectly(MachineState machine, ImmutableList<WorkerCommand> commands) {
    leaseLog.commandsSent(machine, commands, true);
    long token = machine.fencingToken;
    long session = machine.incarnation.number();
    context.call(
        call ->
            new Effect.SendCommands(
                call, machine.address(), token, session, commands, context.stepMs() * 2),
        reply -> handleDirectReply(machine, reply, token));
  }

  private void handleDirectReply(MachineState machine, Reply reply, long token) {
    if (fleet.get(machine.name) != machine || !election.isLeading()) {
      return;
    }
    machine.setCommandInFlight(false);
    if (reply instanceof Reply.WorkerReply says) {
      machine.unansweredCommands = 0;
      if (says.report().fencingToken() >= election.endOfFencingTokens()) {
        election.observeTerm(says.report().fencingToken() >> LeaderElection.TOKEN_SEQUENCE_BITS);
        return;
      }
      applyHeartbeat(machine, says.report(), true);
      if (machine.fencingToken == 0) {
        machine.fencingToken = election.firstFencingToken() + 1;
      }
      if (!says.executed()) {
        machine.requestCommand();
      }
    } else {
      // Unanswered commands may be executed yet; a higher token ends that.
      machine.unansweredCommands++;
      if (token > 0) {
        reconciler.raiseFencingToken(machine);
        machine.clearCommandDue();
      }
      machine.nextCommandMs =
          context.nowMs + context.stepMs() + context.random.nextLong(context.stepMs());
    }
  }
}
