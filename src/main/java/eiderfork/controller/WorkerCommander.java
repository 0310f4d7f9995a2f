package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.model.Attempt;
import eiderfork.model.Command;
import eiderfork.model.Heartbeat;
import eiderfork.model.TaskStatus;
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
  static final int SAVE_MARGIN_STEPS = 3;

  private final ControllerContext context;
  private final LeaderElection term;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CancellationTracker cancellations;
  private final MachineLiveness liveness;
  private final LeaseExpiry lapses;
  private final WorkerLeaseLog log;
  private final HeartbeatReconciler reconciler;
  private boolean rebuilt;
  private long electedMs;

  WorkerCommander(
      ControllerContext context,
      LeaderElection term,
      JobRegistry jobs,
      MachineRegistry fleet,
      CancellationTracker cancellations,
      MachineLiveness liveness,
      LeaseExpiry lapses,
      WorkerLeaseLog log,
      Runnable kick) {
    this.context = context;
    this.term = term;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cancellations = cancellations;
    this.liveness = liveness;
    this.lapses = lapses;
    this.log = log;
    reconciler = new HeartbeatReconciler(context, term, jobs, fleet, kick);
  }

  void elected() {
    rebuilt = false;
    lapses.elected();
    log.clear();
    electedMs = context.nowMs;
  }

  /** Brings the reservations on a machine up to what its newest report shows. */
  void reconcile(MachineState m) {
    reconciler.reconcile(m);
  }

  void rebuilt() {
    rebuilt = true;
  }

  /** A worker reports to this node, which leads. */
  void report(long ticket, Heartbeat report) {
    String name = report.machine().name();
    if (report.token() >= term.endOfTokens()) {
      // Another leader rules this worker, so this one's term is over.
      term.outdated(report.token() >> LeaderElection.SEQUENCE_BITS);
      context.emit(new Effect.RedirectWorker(ticket, null));
      return;
    }
    if (fleet.isGone(name)) {
      context.emit(new Effect.RedirectWorker(ticket, null));
      return;
    }
    MachineState m = fleet.known(report.machine());
    boolean news = absorb(m, report, false);
    if (m.token == 0) {
      m.token = term.firstToken() + 1;
    }
    fleet.answered(m);
    noteUsable(m);
    // While direct commands are under way, the two ways could overtake each other.
    ImmutableList<Command> commands = ImmutableList.of();
    if (news && !m.agrees && !m.isCommanding()) {
      commands = mayCommand() ? commands(m) : stops(m);
      log.commanded(m, commands, false);
    }
    context.emit(new Effect.AnswerWorker(ticket, m.token, commands));
  }

  /** Whether memory and lease allow any command; stopping what is cancelled asks for neither. */
  private boolean mayCommand() {
    return term.sure() && rebuilt;
  }

  /**
   * A job turned out to be cancelled: what machines show of it is to stop. Where memory holds the
   * job, its reservations tell where it runs, and what runs without one is stopped at the next
   * report anyhow.
   */
  void cancelled(String uid) {
    if (rebuilt && jobs.get(uid) != null) {
      return;
    }
    for (MachineState m : fleet.machines()) {
      for (TaskStatus task : m.tasks()) {
        if (!task.ended() && task.attempt().task().job().equals(uid)) {
          m.setUrgent();
        }
      }
    }
  }

  /**
   * The tasks of cancelled jobs, stopped at once. This is right without the state service and
   * before anything is rebuilt: a confirmed cancellation is final.
   */
  private ImmutableList<Command> stops(MachineState m) {
    ImmutableList.Builder<Command> list = ImmutableList.builder();
    for (TaskStatus task : m.tasks()) {
      if (!task.ended() && cancellations.contains(task.attempt().task().job())) {
        list.add(new Command.Kill(task.attempt(), 0));
      }
    }
    return list.build();
  }

  /** Takes a report, or the one in a direct answer, if it is the newest; whether it was. */
  private boolean absorb(MachineState m, Heartbeat report, boolean byCommand) {
    if (!m.session.isNews(report)) {
      return false;
    }
    Heartbeat before = m.report();
    boolean sameTasks = saysNothingNew(m, report);
    long leaseBeforeMs = m.session.leaseFromMs();
    boolean begun = fleet.reported(m, sameTasks ? report.withTasks(before.tasks()) : report);
    if (begun && before != null) {
      log.begun(m, before.session(), leaseBeforeMs, byCommand);
    }
    m.aliveMs = context.nowMs;
    m.booting = false;
    if (report.token() >= m.token) {
      m.deafSinceMs = 0;
      m.unanswered = 0;
    } else if (m.deafSinceMs == 0) {
      m.deafSinceMs = context.nowMs;
    }
    if (liveness.shown(m) && (before == null || before.token() < term.firstToken())) {
      // From here on only this term's answers renew the lease.
      fleet.answered(m);
    }
    if (liveness.shown(m)) {
      fleet.sets().shown(m);
    }
    if (rebuilt && !sameTasks) {
      m.agrees = false;
      reconciler.reconcile(m);
    }
    noteUsable(m);
    return true;
  }

  /**
   * Whether a report has the tasks of the one before, which agreed with what is reserved. Most
   * reports do, and nothing follows from them but that the machine is alive.
   */
  private static boolean saysNothingNew(MachineState m, Heartbeat report) {
    Heartbeat before = m.report();
    return m.agrees
        && report.session() == before.session()
        && report.token() == before.token()
        && report.noticeS() == null
        && report.tasks().equals(before.tasks());
  }

  /** What searches have proved does not hold for a machine that they passed over. */
  private void noteUsable(MachineState m) {
    if (m.passedOver && liveness.usable(m)) {
      m.passedOver = false;
      fleet.sets().roomIndex().grew(m);
    }
  }

  /** The commands that a worker needs now. */
  private ImmutableList<Command> commands(MachineState m) {
    ImmutableList.Builder<Command> list = ImmutableList.builder();
    Set<Attempt> held = new HashSet<>();
    for (Reservation p : m.placed) {
      if (p.committed) {
        held.add(p.id());
      }
    }
    boolean agrees = m.tasks().size() == m.placed.size();
    for (TaskStatus task : m.tasks()) {
      Attempt attempt = task.attempt();
      if (jobs.isFrozen(attempt.task().job())) {
        agrees = false;
        continue;
      }
      JobState job = jobs.get(attempt.task().job());
      Reservation p = job == null ? null : job.placed.get(attempt.task().index());
      boolean ours = p != null && held.contains(attempt);
      agrees &= ours && p.wanted() && p.job.gang == null && isUnderWay(task);
      if (task.ended()) {
        if (!ours
            && (job == null || !jobs.mustKeep(job, attempt.number(), attempt.task().index()))) {
          list.add(new Command.Clear(attempt));
        }
      } else if (!ours) {
        list.add(new Command.Kill(attempt, 0));
      } else if (!p.wanted()) {
        list.add(new Command.Kill(attempt, saveOverdue(p) ? 0 : p.stopGraceS()));
      }
    }
    boolean clears = list.build().stream().anyMatch(Command.Clear.class::isInstance);
    if (clears && m.token <= m.directToken) {
      // A late copy of direct commands would start what is cleared anew.
      m.token = m.directToken + 1;
    }
    if (liveness.usable(m)) {
      for (Reservation p : m.placed) {
        if (p.mayStart() && !p.job.aborting) {
          list.add(new Command.Run(p.id()));
          p.sentToken = m.token;
          p.sentSession = m.session.number();
          reconciler.noteImage(m, p);
        }
      }
    }
    m.clearUrgent();
    m.agrees = agrees;
    return list.build();
  }

  /** A save that hangs is given up: its GPUs are wanted, and the task would never end. */
  private boolean saveOverdue(Reservation p) {
    return context.settings.operator().lending()
        && p.job.gang == null
        && p.isSaveOverdue(context.nowMs, SAVE_MARGIN_STEPS * context.stepMs());
  }

  private static boolean isUnderWay(TaskStatus task) {
    return task.state() == TaskStatus.State.RUNNING || task.state() == TaskStatus.State.FETCHING;
  }

  void tick() {
    if (rebuilt) {
      lapses.settleLapsed();
    }
    log.tell();
    // Every worker turns to a new leader at once, and commands go out beside that; without a bound
    // on them the sockets ran out, and nobody could connect.
    int forCommands = context.settings.controller().outbound() / 2;
    int free = context.settings.controller().outbound() - fleet.sets().commandingCount();
    for (int number : fleet.sets().toContact()) {
      if (free <= 0) {
        return;
      }
      MachineState m = fleet.get(number);
      if (m.addr() == null || m.isCommanding() || context.nowMs < m.commandNotBeforeMs) {
        continue;
      }
      if (m.report() == null || !liveness.shown(m)) {
        // Reached directly, so that an older leader's token ends there soon.
        if (!m.booting && context.nowMs - electedMs > context.stepMs() && free > forCommands) {
          reach(m);
        }
      } else if (m.isUrgent() && liveness.heard(m)) {
        if (mayCommand()) {
          command(m);
        } else {
          stop(m);
        }
      }
      free -= m.isCommanding() ? 1 : 0;
    }
  }

  private void reach(MachineState m) {
    m.setCommanding(true);
    if (m.report() == null) {
      context.ask(
          call -> new Effect.AskInspect(call, m.addr(), context.stepMs() * 2),
          reply -> commanded(m, reply, 0));
    } else {
      m.token = Math.max(m.token, term.firstToken() + 1);
      send(m, ImmutableList.of());
    }
  }

  private void stop(MachineState m) {
    ImmutableList<Command> stops = stops(m);
    if (!stops.isEmpty()) {
      m.setCommanding(true);
      send(m, stops);
    }
  }

  private void command(MachineState m) {
    boolean raiseOnly = m.token > m.report().token();
    ImmutableList<Command> commands = commands(m);
    List<Command> prompt = new ArrayList<>();
    for (Command command : commands) {
      if (!(command instanceof Command.Clear)) {
        prompt.add(command);
      }
    }
    if (prompt.isEmpty() && !raiseOnly) {
      return;
    }
    m.setCommanding(true);
    if (prompt.stream().anyMatch(Command.Run.class::isInstance)) {
      m.directToken = m.token;
    }
    send(m, ImmutableList.copyOf(prompt));
  }

  private void send(MachineState m, ImmutableList<Command> commands) {
    log.commanded(m, commands, true);
    long token = m.token;
    long session = m.session.number();
    context.ask(
        call ->
            new Effect.AskCommands(call, m.addr(), token, session, commands, context.stepMs() * 2),
        reply -> commanded(m, reply, token));
  }

  private void commanded(MachineState m, Reply reply, long token) {
    if (fleet.get(m.name) != m || !term.leading()) {
      return;
    }
    m.setCommanding(false);
    if (reply instanceof Reply.WorkerAnswer says) {
      m.unanswered = 0;
      if (says.report().token() >= term.endOfTokens()) {
        term.outdated(says.report().token() >> LeaderElection.SEQUENCE_BITS);
        return;
      }
      absorb(m, says.report(), true);
      if (m.token == 0) {
        m.token = term.firstToken() + 1;
      }
      if (!says.executed()) {
        m.setUrgent();
      }
    } else {
      // Unanswered commands may be executed yet; a higher token ends that.
      m.unanswered++;
      if (token > 0) {
        reconciler.raise(m);
        m.clearUrgent();
      }
      m.commandNotBeforeMs =
          context.nowMs + context.stepMs() + context.random.nextLong(context.stepMs());
    }
  }
}
