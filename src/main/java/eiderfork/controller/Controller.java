package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.config.Settings;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.PeerStatus;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.UserResponse;
import eiderfork.controller.recovery.JobPageReader;
import eiderfork.controller.recovery.RangeReader;
import eiderfork.controller.standby.Standby;
import eiderfork.controller.standby.StandbyReplica;
import eiderfork.controller.store.ReadBarrier;
import eiderfork.controller.store.StoreClient;
import java.util.List;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller node as a state machine: takes timed inputs and returns what to send, write and
 * answer. It knows no clock, thread or socket.
 */
public final class Controller implements LeaderElection.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  /** Ticks in a step: the finest grain of anything timed. */
  private static final int TICKS_PER_STEP = 20;

  private final ControllerContext context;
  private final StoreClient gate;
  private final LeaderElection term;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final WorkerCommander workers;
  private final Scheduler placer;
  private final CloudProvisioner cloud;
  private final Autoscaler planner;
  private final ClusterVersion version;
  private final PeerMonitor peers;
  private final ReadBarrier readBarrier;
  private final CancellationTracker cancellations;
  private final LeaseProxy leaseProxy;
  private final UserRequestHandler users;
  private final RangeReader reader;
  private final JobArchiver archive;
  private final FinishedJobSweeper sweep;
  private final LeaderRecovery committed;
  private final Standby standby;
  private final MachineHintPublisher hints;
  private final FailoverTimer timer;

  private boolean rebuilt;
  private boolean roundWanted;
  private long nextRoundMs;
  private long nextPlanMs;

  private final WorkerReachability hearing;
  private final HeartbeatHandler reports;

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
    context = new ControllerContext(settings, random, nowMs);
    gate = new StoreClient(context);
    term = new LeaderElection(context, gate, this);
    version = new ClusterVersion(context, gate, term, ownVersion);
    jobs = new JobRegistry(context, gate, term, version);
    fleet = new MachineRegistry(context, jobs);
    cancellations = new CancellationTracker(context, this::cancelled);
    peers = new PeerMonitor(context, term, cancellations, version);
    term.hearsNodes(peers::lost, peers::othersReached);
    leaseProxy = new LeaseProxy(context, gate, term, peers, cancellations);
    liveness = new MachineLiveness(context, term);
    hearing = new WorkerReachability(context, term, fleet, liveness, peers, leaseProxy);
    reader = new RangeReader(gate, term);
    WorkerLeaseLog sessionLog = new WorkerLeaseLog(context);
    LeaseExpiry lapses =
        new LeaseExpiry(
            context, fleet, peers, liveness, sessionLog, reader::readProxied, this::kick);
    workers =
        new WorkerCommander(
            context, term, jobs, fleet, cancellations, liveness, lapses, sessionLog, this::kick);
    reports = new HeartbeatHandler(context, term, workers, cancellations, leaseProxy, hearing);
    placer = new Scheduler(context, term, gate, jobs, fleet, liveness, version);
    cloud = new CloudProvisioner(context, term, gate, fleet);
    planner = new Autoscaler(context, gate, jobs, fleet, liveness, lapses, cloud, placer);
    readBarrier = new ReadBarrier(context, gate, this::changed, cancellations::caughtUp);
    users =
        new UserRequestHandler(
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
    JobPageReader pages = new JobPageReader(reader);
    sweep = new FinishedJobSweeper(context, term, jobs, fleet, cancellations, pages);
    archive = new JobArchiver(context, gate, term, version, jobs, cancellations, sweep);
    standby = new Standby(context, term, new StandbyReplica(context, gate));
    committed =
        new LeaderRecovery(
            context,
            gate,
            term,
            reader,
            pages,
            sweep,
            jobs,
            fleet,
            cloud,
            planner,
            readBarrier,
            cancellations,
            version,
            standby,
            this::rebuilt,
            this::kick);
    hints = new MachineHintPublisher(context, term, gate, fleet, standby);
    timer = new FailoverTimer(context, term);
  }

  /** Takes one input at {@code nowMs} of a steady clock, and says what follows from it. */
  public List<Effect> take(long nowMs, Input input) {
    context.nowMs = Math.max(context.nowMs, nowMs);
    if (input instanceof Input.Tick) {
      tick();
    } else if (input instanceof Input.Answered answered) {
      context.answered(answered.call(), answered.reply());
    } else if (input instanceof Input.WorkerReport it) {
      reports.take(it.ticket(), it.report());
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
    } else if (input instanceof Input.PeerHints it) {
      standby.hints().take(it.hints(), context.nowMs);
      context.emit(new Effect.AnswerPeerHints(it.ticket()));
    } else if (input instanceof Input.HealthCheck it) {
      health(it.ticket());
    }
    reports.retryParked(input);
    gate.pump();
    round();
    List<Effect> effects = context.takeEffects();
    timer.sent(effects);
    effects.addAll(context.takeEffects());
    return effects;
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

  /** Whether the lead of now was taken over with a copy of what is committed. */
  boolean ledFromCopy() {
    return timer.isFromCopy();
  }

  /** Whether this node keeps a copy by which it could take the lead over. */
  boolean standsBy() {
    return standby.copy().isFollowing();
  }

  /** How many jobs this node holds, over or not. */
  int jobsInMemory() {
    return jobs.size();
  }

  private void user(long ticket, Input request, boolean passOn) {
    users.take(request, passOn, answer -> context.emit(new Effect.AnswerUser(ticket, answer)));
  }

  /** Answers a peer's questions together, once the last of them is answered. */
  private void queries(Input.PeerQueries asked) {
    UserResponse[] answers = new UserResponse[asked.uids().size()];
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

  /** What this node tells of itself to a peer. */
  private PeerStatus view(String peer) {
    return new PeerStatus(
        context.settings.node(),
        term.number(),
        term.leading(),
        gate.servedAgeMs(),
        hearing.count(),
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
    reports.tick();
    reader.tick();
    standby.tick();
    if (term.leading()) {
      workers.tick();
      if (rebuilt && term.sure()) {
        placer.tick();
        version.tick();
        cloud.tick();
        archive.tick();
        sweep.tick();
        hints.tick();
        if (context.nowMs >= nextPlanMs && !fleet.types().isEmpty()) {
          nextPlanMs = context.nowMs + context.stepMs();
          planner.plan();
          roundWanted = true;
        }
      }
      hearing.resignIfUnheard();
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
    hearing.elected();
    hints.elected();
    timer.elected();
    forget();
    workers.elected();
    committed.rebuild();
  }

  @Override
  public void deposed() {
    forget();
    standby.deposed();
    timer.deposed();
  }

  private void forget() {
    rebuilt = false;
    reader.stop();
    users.ready(false);
    readBarrier.stop();
    cancellations.forget();
    archive.clear();
    sweep.clear();
    jobs.clear();
    fleet.clear();
    cloud.clear();
    placer.clear();
    planner.clear();
  }

  private void rebuilt(boolean copied) {
    rebuilt = true;
    hints.apply(standby.hints());
    standby.hints().clear();
    timer.hasState(copied);
    users.ready(true);
    workers.rebuilt();
    fleet.machines().forEach(workers::reconcile);
  }

  private void changed(Reply.Item item) {
    committed.changed(item);
  }
}
