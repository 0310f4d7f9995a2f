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
  private final StoreClient store;
  private final LeaderElection election;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final WorkerCommander commander;
  private final Scheduler scheduler;
  private final CloudProvisioner cloud;
  private final Autoscaler autoscaler;
  private final ClusterVersion version;
  private final PeerMonitor peers;
  private final ReadBarrier readBarrier;
  private final CancellationTracker cancellations;
  private final LeaseProxy leaseProxy;
  private final UserRequestHandler users;
  private final RangeReader reader;
  private final JobArchiver archiver;
  private final FinishedJobSweeper sweeper;
  private final LeaderRecovery recovery;
  private final Standby standby;
  private final MachineHintPublisher hintPublisher;
  private final FailoverTimer failoverTimer;

  private boolean rebuilt;
  private boolean roundRequested;
  private long nextRoundMs;
  private long nextPlanMs;

  private final WorkerReachability reachability;
  private final HeartbeatHandler heartbeatHandler;

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
    store = new StoreClient(context);
    election = new LeaderElection(context, store, this);
    version = new ClusterVersion(context, store, election, ownVersion);
    jobs = new JobRegistry(context, store, election, version);
    fleet = new MachineRegistry(context, jobs);
    cancellations = new CancellationTracker(context, this::onCancelled);
    peers = new PeerMonitor(context, election, cancellations, version);
    election.setPeerReachability(peers::isLost, peers::isAnyOtherReachable);
    leaseProxy = new LeaseProxy(context, store, election, peers, cancellations);
    liveness = new MachineLiveness(context, election);
    reachability = new WorkerReachability(context, election, fleet, liveness, peers, leaseProxy);
    reader = new RangeReader(store, election);
    WorkerLeaseLog sessionLog = new WorkerLeaseLog(context);
    LeaseExpiry leaseExpiry =
        new LeaseExpiry(
            context,
            fleet,
            peers,
            liveness,
            sessionLog,
            reader::readProxiedMachines,
            this::requestRound);
    commander =
        new WorkerCommander(
            context,
            election,
            jobs,
            fleet,
            cancellations,
            liveness,
            leaseExpiry,
            sessionLog,
            this::requestRound);
    heartbeatHandler =
        new HeartbeatHandler(context, election, commander, cancellations, leaseProxy, reachability);
    scheduler = new Scheduler(context, election, store, jobs, fleet, liveness, version);
    cloud = new CloudProvisioner(context, election, store, fleet);
    autoscaler =
        new Autoscaler(context, store, jobs, fleet, liveness, leaseExpiry, cloud, scheduler);
    readBarrier = new ReadBarrier(context, store, this::applyChange, cancellations::recordCaughtUp);
    users =
        new UserRequestHandler(
            context,
            election,
            store,
            jobs,
            fleet,
            autoscaler,
            readBarrier,
            cancellations,
            version,
            this::requestRound);
    JobPageReader jobPageReader = new JobPageReader(reader);
    sweeper = new FinishedJobSweeper(context, election, jobs, fleet, cancellations, jobPageReader);
    archiver = new JobArchiver(context, store, election, version, jobs, cancellations, sweeper);
    standby = new Standby(context, election, new StandbyReplica(context, store));
    recovery =
        new LeaderRecovery(
            context,
            store,
            election,
            reader,
            jobPageReader,
            sweeper,
            jobs,
            fleet,
            cloud,
            autoscaler,
            readBarrier,
            cancellations,
            version,
            standby,
            this::rebuilt,
            this::requestRound);
    hintPublisher = new MachineHintPublisher(context, election, store, fleet, standby);
    failoverTimer = new FailoverTimer(context, election);
  }

  /** Takes one input at {@code nowMs} of a steady clock, and says what follows from it. */
  public List<Effect> handle(long nowMs, Input input) {
    context.nowMs = Math.max(context.nowMs, nowMs);
    if (input instanceof Input.Tick) {
      tick();
    } else if (input instanceof Input.Answered answered) {
      context.completeCall(answered.callId(), answered.reply());
    } else if (input instanceof Input.WorkerReport it) {
      heartbeatHandler.handle(it.ticket(), it.report());
    } else if (input instanceof Input.Submit it) {
      handleUserRequest(it.ticket(), it, true);
    } else if (input instanceof Input.Query it) {
      handleUserRequest(it.ticket(), it, true);
    } else if (input instanceof Input.Abort it) {
      handleUserRequest(it.ticket(), it, true);
    } else if (input instanceof Input.PeerRequest it) {
      handleUserRequest(it.ticket(), it.request(), false);
    } else if (input instanceof Input.PeerQueries it) {
      handleForwardedQueries(it);
    } else if (input instanceof Input.PeerPing it) {
      peers.receiveStatus(it.status());
      context.emit(new Effect.RespondToPing(it.ticket(), statusFor(it.status().node())));
    } else if (input instanceof Input.PeerHints it) {
      standby.hints().receive(it.hints(), context.nowMs);
      context.emit(new Effect.AcknowledgeHints(it.ticket()));
    } else if (input instanceof Input.HealthCheck it) {
      handleHealthCheck(it.ticket());
    }
    heartbeatHandler.retryPending(input);
    store.sendQueued();
    runRoundIfDue();
    List<Effect> effects = context.drainEffects();
    failoverTimer.observeEffects(effects);
    effects.addAll(context.drainEffects());
    return effects;
  }

  /** How often the controller wants a tick. */
  public long tickIntervalMs() {
    return Math.max(1, context.stepMs() / TICKS_PER_STEP);
  }

  /** How many looks at a machine the last round and the last plan took. */
  int machinesExamined() {
    return scheduler.examinedMachines() + autoscaler.examinedBins();
  }

  /** How many looks at a machine the last round took. */
  int machinesExaminedInRound() {
    return scheduler.examinedMachines();
  }

  /** Whether the lead of now was taken over with a copy of what is committed. */
  boolean recoveredFromReplica() {
    return failoverTimer.isFromReplica();
  }

  /** Whether this node keeps a copy by which it could take the lead over. */
  boolean isStandby() {
    return standby.copy().isFollowing();
  }

  /** How many jobs this node holds, over or not. */
  int jobsInMemory() {
    return jobs.size();
  }

  private void handleUserRequest(long ticket, Input request, boolean passOn) {
    users.handle(
        request, passOn, response -> context.emit(new Effect.RespondToUser(ticket, response)));
  }

  /** Answers a peer's questions together, once the last of them is answered. */
  private void handleForwardedQueries(Input.PeerQueries asked) {
    UserResponse[] answers = new UserResponse[asked.uids().size()];
    int[] open = {answers.length};
    for (int i = 0; i < answers.length; i++) {
      int at = i;
      users.handle(
          new Input.Query(0, asked.uids().get(i)),
          false,
          response -> {
            answers[at] = response;
            if (--open[0] == 0) {
              context.emit(
                  new Effect.RespondToQueries(asked.ticket(), ImmutableList.copyOf(answers)));
            }
          });
    }
    if (answers.length == 0) {
      context.emit(new Effect.RespondToQueries(asked.ticket(), ImmutableList.of()));
    }
  }

  /** What this node tells of itself to a peer. */
  private PeerStatus statusFor(String peer) {
    return new PeerStatus(
        context.settings.nodeName(),
        election.currentTerm(),
        election.isLeading(),
        store.sinceServedMs(),
        reachability.reachableMachineCount(),
        version.ownVersion(),
        cancellations.gossipFor(peer));
  }

  /** A node that neither the state service nor any peer answers is cut off, and of no use. */
  private void handleHealthCheck(long ticket) {
    boolean served = store.sinceServedMs() <= 2 * context.stepMs();
    boolean healthy = served || peers.isAnyReachable();
    context.emit(
        new Effect.RespondToHealthCheck(
            ticket,
            healthy,
            served ? "serving" : healthy ? "the state service is out" : "cut off"));
  }

  private void tick() {
    election.tick();
    jobs.tick();
    peers.tick(this::statusFor);
    users.tick();
    leaseProxy.tick();
    heartbeatHandler.tick();
    reader.tick();
    standby.tick();
    if (election.isLeading()) {
      commander.tick();
      if (rebuilt && election.isLeaseValid()) {
        scheduler.tick();
        version.tick();
        cloud.tick();
        archiver.tick();
        sweeper.tick();
        hintPublisher.tick();
        if (context.nowMs >= nextPlanMs && !fleet.types().isEmpty()) {
          nextPlanMs = context.nowMs + context.stepMs();
          autoscaler.plan();
          roundRequested = true;
        }
      }
      reachability.resignIfUnreachable();
    }
  }

  /** Something changed that a round should see soon. */
  private void requestRound() {
    roundRequested = true;
  }

  private void runRoundIfDue() {
    if (roundRequested && rebuilt && election.isLeaseValid() && context.nowMs >= nextRoundMs) {
      // A start should not wait for the round; ends are collected, see Placer.
      nextRoundMs = context.nowMs + tickIntervalMs();
      roundRequested = scheduler.runRound();
      commander.tick();
    }
  }

  /** A job turns out to be cancelled; nothing of it may go on, whoever knows what of it. */
  private void onCancelled(String uid) {
    if (election.isLeading()) {
      jobs.markCancelled(uid);
      commander.onJobCancelled(uid);
    }
  }

  // Leading.

  @Override
  public void onElected() {
    leaseProxy.stop();
    reachability.onElected();
    hintPublisher.elected();
    failoverTimer.elected();
    clearLeaderState();
    commander.onElected();
    recovery.recover();
  }

  @Override
  public void onLeadershipLost() {
    clearLeaderState();
    standby.deposed();
    failoverTimer.deposed();
  }

  private void clearLeaderState() {
    rebuilt = false;
    reader.cancelPending();
    users.ready(false);
    readBarrier.failWaiters();
    cancellations.reset();
    archiver.reset();
    sweeper.reset();
    jobs.clear();
    fleet.clear();
    cloud.reset();
    scheduler.clear();
    autoscaler.reset();
  }

  private void rebuilt(boolean copied) {
    rebuilt = true;
    hintPublisher.apply(standby.hints());
    standby.hints().clear();
    failoverTimer.stateRecovered(copied);
    users.ready(true);
    commander.onRecovered();
    fleet.machines().forEach(commander::reconcile);
  }

  private void applyChange(Reply.Item item) {
    recovery.applyChange(item);
  }
}
