package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.config.Settings;
import eiderfork.model.Job;
import eiderfork.model.Record;
import eiderfork.model.Report;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller node as a state machine: takes timed inputs and returns what to send, write and
 * answer. It knows no clock, thread or socket.
 */
public final class Controller implements Term.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  /** Ticks in a step: the finest grain of anything timed. */
  private static final int TICKS_PER_STEP = 20;

  /** How long a new leader waits for the first report of any machine, in steps. */
  private static final int FIRST_REPORTS_STEPS = 4;

  /** Cancellations come first: no worker's lease is renewed before they are known. */
  private static final String[] REBUILT_FROM = {
    Keys.ABORT, Keys.VERSION, Keys.TYPES, Keys.JOB, Keys.ALLOC, Keys.RENT, Keys.RETURN
  };

  private final Context context;
  private final StateGate gate;
  private final Term term;
  private final JobTable jobs;
  private final Fleet fleet;
  private final MachineLiveness liveness;
  private final WorkerControl workers;
  private final Placer placer;
  private final Cloud cloud;
  private final Planner planner;
  private final ClusterVersion version;
  private final Peers peers;
  private final ReadBarrier readBarrier;
  private final Cancellations cancellations;
  private final LeaseProxy leaseProxy;
  private final UserRequests users;

  private boolean rebuilt;
  private boolean roundWanted;
  private long electedMs;
  private long nextRoundMs;
  private long nextPlanMs;

  /** When each machine last reported here, whether this node leads or not. */
  private final Map<String, Long> heardMs = new HashMap<>();

  private long heardCountedMs;

  private long deafCheckMs;

  private final Queue<Parked> parked = new ArrayDeque<>();

  /** Reads that failed and are tried again at the next tick. */
  private final List<Runnable> again = new ArrayList<>();

  /**
   * Makes a controller that follows until it is elected.
   *
   * @param random the source of backoffs and samples
   * @param nowMs the steady time now
   */
  public Controller(Settings settings, RandomGenerator random, long nowMs) {
    this(settings, random, nowMs, ClusterVersion.CURRENT);
  }

  /** Makes a controller that tells its peers, and holds itself to, this version. */
  Controller(Settings settings, RandomGenerator random, long nowMs, int ownVersion) {
    context = new Context(settings, random, nowMs);
    gate = new StateGate(context);
    term = new Term(context, gate, this);
    version = new ClusterVersion(context, gate, term, ownVersion);
    jobs = new JobTable(context, gate, term, version);
    fleet = new Fleet(context, jobs);
    cancellations = new Cancellations(context, this::cancelled);
    peers = new Peers(context, term, cancellations, version);
    leaseProxy = new LeaseProxy(context, gate, term, peers, cancellations);
    liveness = new MachineLiveness(context, term);
    LeaseLapses lapses =
        new LeaseLapses(context, fleet, peers, liveness, this::readProxied, this::kick);
    workers =
        new WorkerControl(context, term, jobs, fleet, cancellations, liveness, lapses, this::kick);
    placer = new Placer(context, term, gate, jobs, fleet, liveness, version);
    cloud = new Cloud(context, term, gate, fleet);
    planner = new Planner(context, gate, jobs, fleet, liveness, lapses, cloud, placer);
    readBarrier = new ReadBarrier(context, gate, this::changed, cancellations::caughtUp);
    users =
        new UserRequests(
            context,
            term,
            gate,
            jobs,
            fleet,
            planner,
            readBarrier,
            cancellations,
            version,
            this::kick);
  }

  /** Takes one input at {@code nowMs} of a steady clock, and says what follows from it. */
  public List<Effect> take(long nowMs, Input input) {
    context.nowMs = Math.max(context.nowMs, nowMs);
    if (input instanceof Input.Tick) {
      tick();
    } else if (input instanceof Input.Answered answered) {
      context.answered(answered.call(), answered.reply());
    } else if (input instanceof Input.WorkerReport it) {
      report(it.ticket(), it.report());
    } else if (input instanceof Input.Submit it) {
      user(it.ticket(), it, true);
    } else if (input instanceof Input.Query it) {
      user(it.ticket(), it, true);
    } else if (input instanceof Input.Abort it) {
      user(it.ticket(), it, true);
    } else if (input instanceof Input.PeerRequest it) {
      user(it.ticket(), it.request(), false);
    } else if (input instanceof Input.PeerQueries it) {
      queries(it);
    } else if (input instanceof Input.PeerPing it) {
      peers.heard(it.view());
      context.emit(new Effect.AnswerPing(it.ticket(), view(it.view().node())));
    } else if (input instanceof Input.HealthCheck it) {
      health(it.ticket());
    }
    unpark();
    gate.pump();
    round();
    return context.takeEffects();
  }

  /** How often the controller wants a tick. */
  public long tickMs() {
    return Math.max(1, context.stepMs() / TICKS_PER_STEP);
  }

  /** How many looks at a machine the last round and the last plan took. */
  int examined() {
    return placer.examined() + planner.examined();
  }

  /** How many looks at a machine the last round took. */
  int placementExamined() {
    return placer.examined();
  }

  private void user(long ticket, Input request, boolean passOn) {
    users.take(request, passOn, answer -> context.emit(new Effect.AnswerUser(ticket, answer)));
  }

  /** Answers a peer's questions together, once the last of them is answered. */
  private void queries(Input.PeerQueries asked) {
    UserAnswer[] answers = new UserAnswer[asked.uids().size()];
    int[] open = {answers.length};
    for (int i = 0; i < answers.length; i++) {
      int at = i;
      users.take(
          new Input.Query(0, asked.uids().get(i)),
          false,
          answer -> {
            answers[at] = answer;
            if (--open[0] == 0) {
              context.emit(
                  new Effect.AnswerPeerQueries(asked.ticket(), ImmutableList.copyOf(answers)));
            }
          });
    }
    if (answers.length == 0) {
      context.emit(new Effect.AnswerPeerQueries(asked.ticket(), ImmutableList.of()));
    }
  }

  /** How many machines report here, counted once in half a step. */
  private int heard() {
    if (context.nowMs - heardCountedMs >= context.stepMs() / 2) {
      heardCountedMs = context.nowMs;
      heardMs.values().removeIf(at -> context.nowMs - at > liveness.silentMs());
    }
    // Machines that have to be answered here don't need this node to lead.
    return Math.max(0, heardMs.size() - leaseProxy.machineCount());
  }

  /** What this node tells of itself to a peer. */
  private PeerView view(String peer) {
    return new PeerView(
        context.settings.node(),
        term.number(),
        term.leading(),
        gate.servedAgeMs(),
        heard(),
        version.own(),
        cancellations.newsFor(peer));
  }

  /** A node that neither the state service nor any peer answers is cut off, and of no use. */
  private void health(long ticket) {
    boolean served = gate.servedAgeMs() <= 2 * context.stepMs();
    boolean healthy = served || peers.anyReached();
    context.emit(
        new Effect.AnswerHealth(
            ticket,
            healthy,
            served ? "serving" : healthy ? "the state service is out" : "cut off"));
  }

  private void tick() {
    term.tick();
    jobs.tick();
    peers.tick(this::view);
    users.tick();
    leaseProxy.retry();
    leaseProxy.tick();
    List<Runnable> due = List.copyOf(again);
    again.clear();
    due.forEach(Runnable::run);
    if (term.leading()) {
      workers.tick();
      if (rebuilt && term.sure()) {
        version.tick();
        cloud.tick();
        if (context.nowMs >= nextPlanMs && !fleet.types().isEmpty()) {
          nextPlanMs = context.nowMs + context.stepMs();
          planner.plan();
          roundWanted = true;
        }
      }
      resignIfUnheard();
    }
  }

  /** Something changed that a round should see soon. */
  private void kick() {
    roundWanted = true;
  }

  private void round() {
    if (roundWanted && rebuilt && term.sure() && context.nowMs >= nextRoundMs) {
      // A start should not wait for the round; ends are collected, see Placer.
      nextRoundMs = context.nowMs + tickMs();
      roundWanted = placer.round();
      workers.tick();
    }
  }

  /** Workers that can't reach this leader, but can reach a peer, need that peer to lead. */
  private void resignIfUnheard() {
    if (context.nowMs < deafCheckMs) {
      return;
    }
    deafCheckMs = context.nowMs + context.stepMs();
    int known = 0;
    int heard = 0;
    int tasked = 0;
    for (MachineEntry m : fleet.machines()) {
      if (m.report != null && !m.returning) {
        known++;
        heard += liveness.heard(m) ? 1 : 0;
      }
      tasked += m.placed.isEmpty() ? 0 : 1;
    }
    if (known >= 2 && heard * 2 < known && peers.betterHeard(heard)) {
      LOG.info("hears {} of {} machines, a peer hears more", heard, known);
      term.resign(context.leaseMs());
    } else if (known == 0 && tasked >= 2 && isLongElected() && peers.betterHeard(1)) {
      // A leader that was cut from the workers when it was elected once held the lead for 32 s.
      LOG.info("has heard none of {} machines with tasks, a peer hears some", tasked);
      term.resign(context.leaseMs());
    }
  }

  /** Whether workers that can reach this node have had the time to find it. */
  private boolean isLongElected() {
    return context.nowMs - electedMs > FIRST_REPORTS_STEPS * context.stepMs();
  }

  private void report(long ticket, Report report) {
    heardMs.put(report.machine().name(), context.nowMs);
    if (term.leading() && cancellations.mayRenew()) {
      workers.report(ticket, report);
    } else if (leaseProxy.mayAnswer(report) && leaseProxy.ready(report)) {
      leaseProxy.answer(ticket, report);
    } else if (leaseProxy.mayAnswer(report) || mayCome()) {
      parked.add(new Parked(ticket, report, context.nowMs));
    } else {
      redirect(ticket, report);
    }
  }

  /**
   * Whether this node may know soon what to answer a worker: who leads or, where it leads with a
   * sure lease, which jobs were cancelled while the state service did not serve it.
   */
  private boolean mayCome() {
    return term.leading() ? term.sure() : term.leader() == null;
  }

  private void redirect(long ticket, Report report) {
    String leader = term.leader();
    leaseProxy.sentAway(report);
    context.emit(
        new Effect.RedirectWorker(ticket, context.settings.node().equals(leader) ? null : leader));
  }

  /** A report that can't be answered yet. */
  private record Parked(long ticket, Report report, long sinceMs) {}

  /**
   * Answers the parked reports once a leader is known, or after a step; after two where this node
   * leads and catches up, or is to answer in the leader's place. A worker turned away without a
   * name tries the next node a second later, and after a crash of all nodes its lease has less than
   * that left.
   */
  private void unpark() {
    for (Iterator<Parked> all = parked.iterator(); all.hasNext(); ) {
      Parked it = all.next();
      boolean mayAnswer = leaseProxy.mayAnswer(it.report);
      long graceMs = context.stepMs() * (mayAnswer || term.leading() ? 2 : 1);
      if (term.leading() && cancellations.mayRenew()) {
        workers.report(it.ticket, it.report);
      } else if (mayAnswer && leaseProxy.ready(it.report)) {
        leaseProxy.answer(it.ticket, it.report);
      } else if ((mayAnswer || mayCome()) && context.nowMs - it.sinceMs < graceMs) {
        continue;
      } else {
        redirect(it.ticket, it.report);
      }
      all.remove();
    }
  }

  /** A job turns out to be cancelled; nothing of it may go on, whoever knows what of it. */
  private void cancelled(String uid) {
    if (term.leading()) {
      jobs.markAborted(uid);
      workers.cancelled(uid);
    }
  }

  // Leading.

  @Override
  public void elected() {
    leaseProxy.stop();
    electedMs = context.nowMs;
    forget();
    workers.elected();
    rebuild(0, term.number(), -1);
  }

  @Override
  public void deposed() {
    forget();
  }

  private void forget() {
    rebuilt = false;
    again.clear();
    users.ready(false);
    readBarrier.stop();
    cancellations.forget();
    jobs.clear();
    fleet.clear();
    cloud.clear();
    planner.clear();
  }

  private boolean still(long number) {
    return term.leading() && term.number() == number;
  }

  /** Reads everything that was committed, part by part. */
  private void rebuild(int part, long number, long revision) {
    if (part == REBUILT_FROM.length) {
      rebuilt = true;
      readBarrier.start(revision);
      users.ready(true);
      jobs.noteImages(fleet);
      workers.rebuilt();
      fleet.machines().forEach(workers::reconcile);
      LOG.info("rebuilt: {} jobs, {} machines", jobs.size(), fleet.machines().size());
      follow(Keys.JOB, number, revision);
      follow(Keys.ABORT, number, revision);
      kick();
      return;
    }
    long askedMs = context.nowMs;
    scan(
        REBUILT_FROM[part],
        "",
        number,
        this::restore,
        seen -> {
          if (REBUILT_FROM[part].equals(Keys.ABORT)) {
            // Pages are read one after the other, so only the first moment is sure.
            cancellations.caughtUp(askedMs);
          }
          rebuild(part + 1, number, revision < 0 ? seen : revision);
        });
  }

  private void scan(
      String prefix,
      String after,
      long number,
      BiConsumer<String, Reply.Item> taker,
      java.util.function.LongConsumer then) {
    gate.send(
        new StateOp.Scan(prefix, after),
        Urgency.START,
        reply -> {
          if (!still(number)) {
            return;
          }
          if (!(reply instanceof Reply.Page page)) {
            again.add(() -> scan(prefix, after, number, taker, then));
            return;
          }
          String last = after;
          for (Reply.Item item : page.items()) {
            taker.accept(prefix, item);
            last = item.key();
          }
          if (page.more()) {
            scan(prefix, last, number, taker, revision -> then.accept(page.revision()));
          } else {
            then.accept(page.revision());
          }
        });
  }

  /** Reads which machines other nodes answer in this one's place; null where a record is spoilt. */
  private void readProxied(Consumer<Set<String>> then) {
    Set<String> names = new HashSet<>();
    boolean[] whole = {true};
    scan(
        Keys.LEASE_PROXY,
        "",
        term.number(),
        (prefix, item) -> {
          if (item.record() instanceof Record.ProxiedLeases it) {
            names.addAll(it.machines());
          } else {
            whole[0] = false;
          }
        },
        revision -> then.accept(whole[0] ? names : null));
  }

  private void restore(String prefix, Reply.Item item) {
    Record record = item.record();
    if (record instanceof Record.Unreadable it) {
      unreadable(item.key(), it);
    } else if (record instanceof Record.JobSpec spec) {
      add(spec.job(), item.version());
    } else if (record instanceof Record.Alloc alloc) {
      JobEntry entry = jobs.get(Keys.tail(item.key()));
      if (entry != null) {
        jobs.restore(entry, alloc, item.version(), fleet);
      }
    } else if (record instanceof Record.Aborted aborted) {
      cancellations.read(aborted.uid());
    } else if (record instanceof Record.Rent rent) {
      cloud.restoreRent(rent);
    } else if (record instanceof Record.Return back) {
      cloud.restoreReturn(item.key(), back);
    } else if (record instanceof Record.StoredVersion stored) {
      version.read(stored, item.version());
    } else if (record instanceof Record.Types types) {
      fleet.types(types.types());
    }
  }

  /** Follows what other nodes write: submissions and cancellations. */
  private void follow(String prefix, long number, long revision) {
    long askedMs = context.nowMs;
    gate.send(
        // Short, so that a lost reply does not leave memory behind for long.
        new StateOp.Watch(prefix, revision, 2 * context.stepMs()),
        Urgency.SUBMIT,
        reply -> {
          if (!still(number)) {
            return;
          }
          if (reply instanceof Reply.Changes changes) {
            changes.items().forEach(this::changed);
            if (prefix.equals(Keys.ABORT)) {
              cancellations.caughtUp(askedMs);
              // The service forgets old changes; the readBarrier asks after none that came before.
              readBarrier.start(changes.revision());
            }
            follow(prefix, number, changes.revision());
          } else if (reply instanceof Reply.Refused refused && refused.status() == 410) {
            scan(
                prefix,
                "",
                number,
                (p, item) -> changed(item),
                seen -> follow(prefix, number, seen));
          } else {
            again.add(() -> follow(prefix, number, revision));
          }
        });
  }

  /** A job that memory can't hold truly is frozen, and the rest goes on without it. */
  private void unreadable(String key, Record.Unreadable record) {
    LOG.error("{} can't be read and is left as it is: {}", key, record.why());
    if (key.startsWith(Keys.JOB) || key.startsWith(Keys.ALLOC)) {
      jobs.freeze(Keys.tail(key));
    }
  }

  private void changed(Reply.Item item) {
    if (item.record() instanceof Record.Unreadable it) {
      unreadable(item.key(), it);
    } else if (item.record() instanceof Record.JobSpec spec) {
      if (jobs.get(spec.job().uid()) == null) {
        add(spec.job(), item.version());
        planner.arrived(spec.job());
        kick();
      }
    } else if (item.record() instanceof Record.Aborted aborted) {
      cancellations.read(aborted.uid());
    }
  }

  /** The two watches run side by side, so a job may come after its own cancellation. */
  private void add(Job job, long order) {
    jobs.add(job, order);
    if (cancellations.contains(job.uid())) {
      jobs.markAborted(job.uid());
    }
  }
}
