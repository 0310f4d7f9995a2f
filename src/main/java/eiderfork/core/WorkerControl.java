package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Attempt;
import eiderfork.model.Command;
import eiderfork.model.MachineType;
import eiderfork.model.Report;
import eiderfork.model.TaskReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's dealings with workers: compares what is reserved with what is reported, and sends
 * the commands that bring the two together.
 */
final class WorkerControl {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerControl.class);

  /** The term stands in the bits above these of a token, the per-worker sequence below. */
  static final int SEQUENCE_BITS = 24;

  /**
   * A machine is silent after the longest time between two of its reports, which is a quarter over
   * the interval, and this many steps more, for a report that was lost or tried another node.
   */
  private static final double LONGEST_REPORTS = 1.25;

  private static final double SILENT_STEPS = 1.35;

  /** The share of a lease after which machines for the tasks of a silent one are planned. */
  private static final double SUSPECT_SHARE = 0.5;

  /** The same where its whole zone can't be reached, for lease proxies take until then to begin. */
  private static final double APART_SUSPECT_SHARE = 0.75;

  /** Jobs that must fail on a machine, and end well elsewhere or not have run, to condemn it. */
  private static final int FAULTY_ERRORS = 2;

  /** A job that fails on this many machines is itself at fault. */
  private static final int JOB_FAULT_MACHINES = 3;

  private final Context context;
  private final Term term;
  private final JobTable jobs;
  private final Fleet fleet;
  private final Cancellations cancellations;
  private final Peers peers;
  private final Consumer<Consumer<Set<String>>> readProxied;
  private boolean readingProxied;
  private long readProxiedNotBeforeMs;
  private final Runnable kick;
  private boolean rebuilt;
  private long electedMs;

  /**
   * @param readProxied reads which machines other nodes answer in this one's place
   */
  WorkerControl(
      Context context,
      Term term,
      JobTable jobs,
      Fleet fleet,
      Cancellations cancellations,
      Peers peers,
      Consumer<Consumer<Set<String>>> readProxied,
      Runnable kick) {
    this.context = context;
    this.term = term;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cancellations = cancellations;
    this.peers = peers;
    this.readProxied = readProxied;
    this.kick = kick;
  }

  void elected() {
    rebuilt = false;
    readingProxied = false;
    electedMs = context.nowMs;
  }

  void rebuilt() {
    rebuilt = true;
  }

  private long base() {
    return term.number() << SEQUENCE_BITS;
  }

  long silentMs() {
    return (long) (context.reportMs() * LONGEST_REPORTS + context.stepMs() * SILENT_STEPS);
  }

  /** Whether the worker takes this term's commands, so that no older leader can reach it. */
  boolean shown(MachineEntry m) {
    return m.report != null && m.report.token() >= base();
  }

  boolean heard(MachineEntry m) {
    return m.heardMs > 0 && context.nowMs - m.heardMs <= silentMs();
  }

  /** How long ago the machine last reported or was answered in this term. */
  long silentForMs(MachineEntry m) {
    return context.nowMs - Math.max(m.heardMs, m.answeredMs);
  }

  /** Reports come but commands do not arrive. */
  boolean deaf(MachineEntry m) {
    return m.deafSinceMs > 0 && context.nowMs - m.deafSinceMs > silentMs();
  }

  /** Whether tasks may be placed here. */
  boolean usable(MachineEntry m) {
    return m.room != null
        && shown(m)
        && heard(m)
        && !deaf(m)
        && !m.returning
        && !m.draining
        && !m.faulty
        && m.report.noticeS() == null
        && m.unanswered < 2;
  }

  /** A worker reports to this node, which leads. */
  void report(long ticket, Report report) {
    String name = report.machine().name();
    if (report.token() >= base() + (1L << SEQUENCE_BITS)) {
      // Another leader rules this worker, so this one's term is over.
      term.outdated(report.token() >> SEQUENCE_BITS);
      context.emit(new Effect.RedirectWorker(ticket, null));
      return;
    }
    if (fleet.isGone(name)) {
      context.emit(new Effect.RedirectWorker(ticket, null));
      return;
    }
    MachineEntry m = fleet.known(report.machine());
    boolean news = absorb(m, report);
    if (m.token == 0) {
      m.token = base() + 1;
    }
    m.answeredMs = context.nowMs;
    // While direct commands are under way, the two ways could overtake each other.
    ImmutableList<Command> commands = ImmutableList.of();
    if (news && !m.commanding) {
      commands = mayCommand() ? commands(m) : stops(m);
    }
    context.emit(new Effect.AnswerWorker(ticket, m.token, commands));
  }

  /** Whether memory and lease allow any command; stopping what is cancelled asks for neither. */
  private boolean mayCommand() {
    return term.sure() && rebuilt;
  }

  /** A job turned out to be cancelled: what machines show of it is to stop. */
  void cancelled(String uid) {
    for (MachineEntry m : fleet.machines()) {
      for (TaskReport task : m.tasks()) {
        if (!task.ended() && task.attempt().task().job().equals(uid)) {
          m.urgent = true;
        }
      }
    }
  }

  /**
   * The tasks of cancelled jobs, stopped at once. This is right without the state service and
   * before anything is rebuilt: a confirmed cancellation is final.
   */
  private ImmutableList<Command> stops(MachineEntry m) {
    ImmutableList.Builder<Command> list = ImmutableList.builder();
    for (TaskReport task : m.tasks()) {
      if (!task.ended() && cancellations.contains(task.attempt().task().job())) {
        list.add(new Command.Kill(task.attempt(), 0));
      }
    }
    return list.build();
  }

  /** Takes a report if it is the newest; whether it was. */
  private boolean absorb(MachineEntry m, Report report) {
    Report before = m.report;
    if (before != null && !report.newerThan(before.session(), before.seq())) {
      return false;
    }
    m.report = report;
    m.heardMs = context.nowMs;
    m.aliveMs = context.nowMs;
    m.booting = false;
    if (report.token() >= m.token) {
      m.deafSinceMs = 0;
      m.unanswered = 0;
    } else if (m.deafSinceMs == 0) {
      m.deafSinceMs = context.nowMs;
    }
    if (shown(m) && (before == null || before.token() < base())) {
      // From here on only this term's answers renew the lease.
      m.answeredMs = Math.max(m.answeredMs, context.nowMs);
    }
    if (rebuilt) {
      reconcile(m);
    }
    return true;
  }

  /** Brings the reservations up to what the newest report shows. */
  void reconcile(MachineEntry m) {
    if (m.report == null) {
      return;
    }
    Map<Attempt, TaskReport> shown = new HashMap<>();
    for (TaskReport task : m.tasks()) {
      shown.put(task.attempt(), task);
    }
    for (Reservation p : List.copyOf(m.placed)) {
      TaskReport task = shown.get(p.id());
      if (task == null) {
        absent(m, p);
      } else if (task.ended()) {
        ended(m, p, task);
      } else {
        if (task.state() == TaskReport.State.RUNNING && p.runningSinceMs == 0) {
          p.runningSinceMs = context.nowMs;
          // A new leader learns from what runs which images a machine has.
          noteImage(m, p);
          m.fetchedAtMs.put(p.job.job.image(), context.nowMs);
        }
        if (task.state() == TaskReport.State.FETCHING
            && !m.fetchedAtMs.containsKey(p.job.job.image())) {
          m.images.remove(p.job.job.image());
          noteImage(m, p);
        }
        p.seen = task.state();
      }
    }
  }

  private void absent(MachineEntry m, Reservation p) {
    if (!p.committed) {
      return;
    }
    boolean surely =
        m.report.session() > p.sentSession && p.sentSession > 0
            || m.report.token() > Math.max(p.sentToken, base() - 1);
    if (!surely) {
      if ((!p.wanted() || p.seen != null) && p.sentToken >= m.token) {
        // Outdates the unanswered start, so that its absence can be believed.
        raise(m);
      }
      return;
    }
    if (!p.wanted() || p.seen != null) {
      jobs.release(p, false);
      kick.run();
    }
  }

  private void ended(MachineEntry m, Reservation p, TaskReport task) {
    JobEntry job = p.job;
    switch (task.cause()) {
      case DONE -> {
        m.errors.clear();
        jobs.release(p, true);
      }
      case ERROR -> {
        LOG.info("{} failed on {}", p.id(), m.name);
        job.failures++;
        job.failedOn.add(m.name);
        if (job.failedOn.size() < JOB_FAULT_MACHINES) {
          m.errors.add(job.job.uid());
        } else {
          // The job fails everywhere: no machine is to blame for it.
          fleet.machines().forEach(other -> other.errors.remove(job.job.uid()));
        }
        if (m.errors.size() >= FAULTY_ERRORS) {
          LOG.info("machine {} is faulty", m.name);
          m.faulty = true;
        }
        job.notBeforeMs =
            context.nowMs + (context.stepMs() << Math.min(5, Math.max(0, job.failures - 2)));
        jobs.release(p, false);
      }
      case NO_ROOM, BUSY, UNKNOWN -> {
        LOG.info("{} refused on {}: {}", p.id(), m.name, task.cause());
        job.notBeforeMs = context.nowMs + context.stepMs();
        jobs.release(p, false);
      }
      case STOPPED, PEERS, INCOMPLETE -> jobs.release(p, false);
    }
    kick.run();
  }

  /** Raises the token, so that no unanswered command is executed any more. */
  private void raise(MachineEntry m) {
    m.token = Math.max(m.token, base()) + 1;
    m.urgent = true;
  }

  /** The commands that a worker needs now. */
  private ImmutableList<Command> commands(MachineEntry m) {
    ImmutableList.Builder<Command> list = ImmutableList.builder();
    Set<Attempt> held = new HashSet<>();
    for (Reservation p : m.placed) {
      if (p.committed) {
        held.add(p.id());
      }
    }
    for (TaskReport task : m.tasks()) {
      Attempt attempt = task.attempt();
      if (jobs.isFrozen(attempt.task().job())) {
        continue;
      }
      JobEntry job = jobs.get(attempt.task().job());
      Reservation p = job == null ? null : job.placed.get(attempt.task().index());
      boolean ours = p != null && held.contains(attempt);
      if (task.ended()) {
        if (!ours
            && (job == null || !jobs.mustKeep(job, attempt.number(), attempt.task().index()))) {
          list.add(new Command.Clear(attempt));
        }
      } else if (!ours) {
        list.add(new Command.Kill(attempt, 0));
      } else if (!p.wanted()) {
        // Nobody wants what a cancelled task saves; a moved one may save once.
        list.add(new Command.Kill(attempt, job.aborted ? 0 : job.job.saveS()));
      }
    }
    boolean clears = list.build().stream().anyMatch(Command.Clear.class::isInstance);
    if (clears && m.token <= m.directToken) {
      // A late copy of direct commands would start what is cleared anew.
      m.token = m.directToken + 1;
    }
    if (usable(m)) {
      for (Reservation p : m.placed) {
        if (p.mayStart() && !p.job.aborting) {
          list.add(new Command.Run(p.id()));
          p.sentToken = m.token;
          p.sentSession = m.session();
          noteImage(m, p);
        }
      }
    }
    m.urgent = false;
    return list.build();
  }

  private void noteImage(MachineEntry m, Reservation p) {
    MachineType type = fleet.type(m);
    String image = p.job.job.image();
    if (type == null || image == null) {
      return;
    }
    if (!m.images.containsKey(image)) {
      long fetchMs = (long) (1000 * p.job.job.imageGb() / type.fetchGbPerS());
      m.fetchedAtMs.put(image, context.nowMs + fetchMs);
    }
    m.touchImage(image, p.job.job.imageGb(), type.cacheGb());
  }

  void tick() {
    // Every worker turns to a new leader at once, and commands go out beside that; without a bound
    // on them the sockets ran out, and nobody could connect.
    int free = context.settings.controller().outbound();
    int forCommands = free / 2;
    for (MachineEntry m : fleet.machines()) {
      free -= m.commanding ? 1 : 0;
    }
    settleLapsed();
    for (MachineEntry m : fleet.machines()) {
      if (m.addr() == null || m.commanding || context.nowMs < m.commandNotBeforeMs || free <= 0) {
        continue;
      }
      if (m.report == null || !shown(m)) {
        // Reached directly, so that an older leader's token ends there soon.
        if (!m.booting && context.nowMs - electedMs > context.stepMs() && free > forCommands) {
          reach(m);
        }
      } else if (m.urgent && heard(m)) {
        if (mayCommand()) {
          command(m);
        } else {
          stop(m);
        }
      }
      free -= m.commanding ? 1 : 0;
    }
  }

  /** Whether another node answered the machine's worker in this one's place not long ago. */
  boolean proxied(MachineEntry m) {
    return m.proxiedMs > 0 && context.nowMs - m.proxiedMs <= 2 * context.stepMs();
  }

  /**
   * Whether a machine that is silent may be lost. For a while it is not where its whole zone can't
   * be reached, and nodes there may answer for this one.
   */
  boolean suspected(MachineEntry m) {
    double share = peers.apart(m.zone()) ? APART_SUSPECT_SHARE : SUSPECT_SHARE;
    return !proxied(m) && silentForMs(m) > context.leaseMs() * share;
  }

  /** Takes the tasks off machines whose leases have lapsed, unless a leaseProxy renewed them. */
  private void settleLapsed() {
    if (!rebuilt || readingProxied || context.nowMs < readProxiedNotBeforeMs) {
      return;
    }
    List<MachineEntry> over = new ArrayList<>();
    boolean silent = false;
    for (MachineEntry m : fleet.machines()) {
      if (!m.placed.isEmpty()) {
        if (lapsed(m)) {
          over.add(m);
        }
        silent |= m.report != null && silentForMs(m) > context.leaseMs() * SUSPECT_SHARE;
      }
    }
    if (!mayBeProxied()) {
      over.forEach(this::settle);
    } else if (silent || !over.isEmpty()) {
      readingProxied = true;
      readProxiedNotBeforeMs = context.nowMs + context.stepMs() / 2;
      readProxied.accept(names -> proxied(over, names));
    }
  }

  /** Only nodes of another zone than the leader's stand in for it. */
  private boolean mayBeProxied() {
    return context.settings.peerZones().values().stream()
        .anyMatch(zone -> !zone.equals(context.settings.zone()));
  }

  /** What was read after the leases in {@code over} had lapsed as far as this node knows. */
  private void proxied(List<MachineEntry> over, Set<String> names) {
    readingProxied = false;
    if (names == null) {
      return;
    }
    for (String name : names) {
      MachineEntry m = fleet.get(name);
      if (m != null) {
        m.proxiedMs = context.nowMs;
      }
    }
    for (MachineEntry m : over) {
      if (fleet.get(m.name) == m && !names.contains(m.name) && lapsed(m)) {
        settle(m);
      }
    }
  }

  private void settle(MachineEntry m) {
    LOG.info("machine {}: its lease has lapsed", m.name);
    fleet.settleAll(m);
    kick.run();
  }

  /**
   * The worker has surely killed and forgotten everything that was started before. Where it does
   * not show this term's token yet, an older leader may have renewed its lease for as long as there
   * was one: a leader that took over while a zone was cut off once left the zone's replicas
   * unplaced until the cut was over.
   */
  boolean lapsed(MachineEntry m) {
    long renewedMs = m.answeredMs;
    if (context.nowMs - renewedMs <= context.leaseMs()) {
      return false;
    }
    if (!shown(m)) {
      long overMs = peers.olderTermsOverMs();
      if (overMs == Long.MAX_VALUE) {
        return false;
      }
      renewedMs = Math.max(renewedMs, overMs);
    }
    return context.nowMs - renewedMs > Context.surely(context.leaseMs()) + context.stepMs() / 2;
  }

  private void reach(MachineEntry m) {
    m.commanding = true;
    if (m.report == null) {
      context.ask(
          call -> new Effect.AskInspect(call, m.addr(), context.stepMs() * 2),
          reply -> commanded(m, reply, 0));
    } else {
      m.token = Math.max(m.token, base() + 1);
      send(m, ImmutableList.of());
    }
  }

  private void stop(MachineEntry m) {
    ImmutableList<Command> stops = stops(m);
    if (!stops.isEmpty()) {
      m.commanding = true;
      send(m, stops);
    }
  }

  private void command(MachineEntry m) {
    boolean raiseOnly = m.token > m.report.token();
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
    m.commanding = true;
    if (prompt.stream().anyMatch(Command.Run.class::isInstance)) {
      m.directToken = m.token;
    }
    send(m, ImmutableList.copyOf(prompt));
  }

  private void send(MachineEntry m, ImmutableList<Command> commands) {
    long token = m.token;
    long session = m.session();
    context.ask(
        call ->
            new Effect.AskCommands(call, m.addr(), token, session, commands, context.stepMs() * 2),
        reply -> commanded(m, reply, token));
  }

  private void commanded(MachineEntry m, Reply reply, long token) {
    m.commanding = false;
    if (fleet.get(m.name) != m || !term.leading()) {
      return;
    }
    if (reply instanceof Reply.WorkerAnswer says) {
      m.unanswered = 0;
      if (says.report().token() >= base() + (1L << SEQUENCE_BITS)) {
        term.outdated(says.report().token() >> SEQUENCE_BITS);
        return;
      }
      absorb(m, says.report());
      if (m.token == 0) {
        m.token = base() + 1;
      }
      if (!says.executed()) {
        m.urgent = true;
      }
    } else {
      // Unanswered commands may be executed yet; a higher token ends that.
      m.unanswered++;
      if (token > 0) {
        raise(m);
        m.urgent = false;
      }
      m.commandNotBeforeMs =
          context.nowMs + context.stepMs() + context.random.nextLong(context.stepMs());
    }
  }
}
