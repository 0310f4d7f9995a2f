package eiderfork.controller;

import eiderfork.config.Settings;
import eiderfork.controller.autoscaling.Autoscaler;
import eiderfork.controller.autoscaling.CloudProvisioner;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.cluster.HealthCheckHandler;
import eiderfork.controller.cluster.PeerMonitor;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.jobs.ForwardedQueryHandler;
import eiderfork.controller.jobs.JobArchiver;
import eiderfork.controller.jobs.UserRequestHandler;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.PeerStatus;
import eiderfork.controller.recovery.CommittedChangeApplier;
import eiderfork.controller.recovery.CommittedChangeWatcher;
import eiderfork.controller.recovery.FailoverTimer;
import eiderfork.controller.recovery.FinishedJobLoader;
import eiderfork.controller.recovery.FullReadRecovery;
import eiderfork.controller.recovery.JobPageReader;
import eiderfork.controller.recovery.LeaderRecovery;
import eiderfork.controller.recovery.MachineHintPublisher;
import eiderfork.controller.recovery.RangeReader;
import eiderfork.controller.recovery.ReplicaRecovery;
import eiderfork.controller.recovery.StoredRecordRestorer;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.scheduling.RoundTrigger;
import eiderfork.controller.scheduling.Scheduler;
import eiderfork.controller.standby.Standby;
import eiderfork.controller.standby.StandbyReplica;
import eiderfork.controller.store.ReadBarrier;
import eiderfork.controller.store.StoreClient;
import eiderfork.controller.workers.HeartbeatHandler;
import eiderfork.controller.workers.LeaseExpiry;
import eiderfork.controller.workers.LeaseProxy;
import eiderfork.controller.workers.MachineLiveness;
import eiderfork.controller.workers.WorkerCommander;
import eiderfork.controller.workers.WorkerLeaseLog;
import eiderfork.controller.workers.WorkerReachability;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A controller node as a state machine: takes timed inputs and returns what to send, write and
 * answer. It uses no clock, thread or socket.
 *
 * <p>The constructor assembles the parts in the order in which they need each other. Four calls go
 * against that order, from an earlier part to a later one, and only once inputs are handled: the
 * election notifies this class ({@link LeaderElection.Listener}) and is given the reachability of
 * peers and the rule of the standbys; cancellations notify {@link #onCancelled}; the recovery
 * notifies {@link #onRecovered}.
 */
public final class Controller implements LeaderElection.Listener {
  /** Ticks in a step: the finest grain of anything timed. */
  private static final int TICKS_PER_STEP = 20;

  // The store, and who leads.
  private final ControllerContext context;
  private final StoreClient store;
  private final LeaderElection election;

  // What members know of each other.
  private final ClusterVersion version;
  private final CancellationTracker cancellations;
  private final PeerMonitor peers;
  private final LeaseProxy leaseProxy;

  // The leader's memory of jobs and machines.
  private final JobRegistry jobs;
  private final MachineRegistry fleet;

  // Workers.
  private final WorkerReachability reachability;
  private final RangeReader reader;
  private final WorkerCommander commander;
  private final HeartbeatHandler heartbeats;

  // Scheduling and scaling.
  private final RoundTrigger rounds = new RoundTrigger();
  private final Scheduler scheduler;
  private final CloudProvisioner cloud;
  private final Autoscaler autoscaler;
  private final SchedulingLoop schedulingLoop;

  // Users, and jobs that are over.
  private final ReadBarrier readBarrier;
  private final UserRequestHandler users;
  private final ForwardedQueryHandler forwardedQueries;
  private final HealthCheckHandler healthChecks;
  private final FinishedJobLoader finishedJobLoader;
  private final JobArchiver archiver;

  // Failover.
  private final Standby standby;
  private final LeaderRecovery recovery;
  private final MachineHintPublisher hintPublisher;
  private final FailoverTimer failoverTimer;
  private boolean recovered;

  /**
   * Makes a controller that follows until it is elected.
   *
   * @param random the source of backoffs and samples
   * @param nowMs the steady time now
   */
  public Controller(Settings settings, RandomGenerator random, long nowMs) {
    this(settings, random, nowMs, ClusterVersion.CURRENT);
  }

  /** Makes a controller that reports this version to its peers, and holds itself to it. */
  Controller(Settings settings, RandomGenerator random, long nowMs, int ownVersion) {
    context = new ControllerContext(settings, random, nowMs);
    store = new StoreClient(context);
    election = new LeaderElection(context, store, this);

    version = new ClusterVersion(context, store, election, ownVersion);
    cancellations = new CancellationTracker(context, this::onCancelled);
    peers = new PeerMonitor(context, election, cancellations, version);
    election.setPeerReachability(peers);
    leaseProxy = new LeaseProxy(context, store, election, peers, cancellations);

    jobs = new JobRegistry(context, store, election, version);
    fleet = new MachineRegistry(context, jobs);

    MachineLiveness liveness = new MachineLiveness(context, election);
    reachability = new WorkerReachability(context, election, fleet, liveness, peers, leaseProxy);
    reader = new RangeReader(store, election);
    WorkerLeaseLog leaseLog = new WorkerLeaseLog(context);
    LeaseExpiry leaseExpiry =
        new LeaseExpiry(
            context,
            fleet,
            peers,
            liveness,
            leaseLog,
            reader::readProxiedMachines,
            rounds::request);
    commander = newCommander(liveness, leaseExpiry, leaseLog);
    heartbeats =
        new HeartbeatHandler(context, election, commander, cancellations, leaseProxy, reachability);
    scheduler = new Scheduler(context, store, jobs, fleet, liveness, version);
    cloud = new CloudProvisioner(context, election, store, fleet);
    autoscaler =
        new Autoscaler(context, store, jobs, fleet, liveness, leaseExpiry, cloud, scheduler);
    schedulingLoop =
        new SchedulingLoop(
            context, rounds, fleet, scheduler, autoscaler, commander, tickIntervalMs());

    StoredRecordRestorer restorer =
        new StoredRecordRestorer(jobs, fleet, cloud, cancellations, version);
    CommittedChangeApplier changes =
        new CommittedChangeApplier(restorer, jobs, cancellations, autoscaler, rounds);
    readBarrier = new ReadBarrier(context, store, changes::apply, cancellations::recordCaughtUp);
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
            rounds::request);
    forwardedQueries = new ForwardedQueryHandler(context, users);
    healthChecks = new HealthCheckHandler(context, store, peers);
    JobPageReader jobPages = new JobPageReader(reader);
    finishedJobLoader =
        new FinishedJobLoader(context, election, jobs, fleet, cancellations, jobPages);
    archiver =
        new JobArchiver(context, store, election, version, jobs, cancellations, finishedJobLoader);

    standby = new Standby(context, election, new StandbyReplica(context, store));
    election.setYieldRule(standby);
    recovery = newRecovery(restorer, changes, jobPages);
    hintPublisher = new MachineHintPublisher(context, election, store, fleet, standby);
    failoverTimer = new FailoverTimer(context, election);
  }

  private WorkerCommander newCommander(
      MachineLiveness liveness, LeaseExpiry leaseExpiry, WorkerLeaseLog leaseLog) {
    return new WorkerCommander(
        context,
        election,
        jobs,
        fleet,
        cancellations,
        liveness,
        leaseExpiry,
        leaseLog,
        rounds::request);
  }

  private LeaderRecovery newRecovery(
      StoredRecordRestorer restorer, CommittedChangeApplier changes, JobPageReader jobPages) {
    return new LeaderRecovery(
        election,
        standby,
        new ReplicaRecovery(reader, restorer, cancellations, finishedJobLoader),
        new FullReadRecovery(context, reader, jobPages, restorer, cancellations, finishedJobLoader),
        new CommittedChangeWatcher(context, store, reader, readBarrier, cancellations, changes),
        readBarrier,
        jobs,
        fleet,
        rounds,
        this::onRecovered);
  }

  /** Handles one input at {@code nowMs} of a steady clock, and returns what follows from it. */
  public List<Effect> handle(long nowMs, Input input) {
    context.advanceTo(nowMs);
    dispatch(input);
    heartbeats.retryPending(input);
    store.sendQueued();
    if (isRecoveredLeader()) {
      schedulingLoop.runRoundIfDue();
    }
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
  int totalMachineExaminations() {
    return scheduler.machineExaminations() + autoscaler.examinedBins();
  }

  /** How many looks at a machine the last round took. */
  int roundMachineExaminations() {
    return scheduler.machineExaminations();
  }

  /** Whether the leadership of now was recovered from a replica of what is committed. */
  boolean recoveredFromReplica() {
    return failoverTimer.isFromReplica();
  }

  /** Whether this node keeps a replica from which it could recover as the leader. */
  boolean isStandby() {
    return standby.replica().isFollowing();
  }

  /** How many jobs this node holds, over or not. */
  int jobsInMemory() {
    return jobs.size();
  }

  private void dispatch(Input input) {
    if (input instanceof Input.Tick) {
      tick();
    } else if (input instanceof Input.CallCompleted answered) {
      context.completeCall(answered.callId(), answered.reply());
    } else if (input instanceof Input.WorkerHeartbeat heartbeat) {
      heartbeats.handle(heartbeat.ticket(), heartbeat.heartbeat());
    } else if (input instanceof Input.Submit submission) {
      handleUserRequest(submission.ticket(), submission, true);
    } else if (input instanceof Input.Query query) {
      handleUserRequest(query.ticket(), query, true);
    } else if (input instanceof Input.Cancel cancellation) {
      handleUserRequest(cancellation.ticket(), cancellation, true);
    } else if (input instanceof Input.PeerRequest forwarded) {
      handleUserRequest(forwarded.ticket(), forwarded.request(), false);
    } else if (input instanceof Input.PeerQueries queries) {
      forwardedQueries.handle(queries);
    } else if (input instanceof Input.PeerPing ping) {
      handlePing(ping);
    } else if (input instanceof Input.PeerHints hints) {
      handleHints(hints);
    } else if (input instanceof Input.HealthCheck check) {
      healthChecks.handle(check);
    }
  }

  private void handleUserRequest(long ticket, Input request, boolean mayForward) {
    users.handle(
        request, mayForward, response -> context.emit(new Effect.RespondToUser(ticket, response)));
  }

  private void handlePing(Input.PeerPing ping) {
    peers.receiveStatus(ping.status());
    context.emit(new Effect.RespondToPing(ping.ticket(), statusFor(ping.status().node())));
  }

  private void handleHints(Input.PeerHints hints) {
    standby.hints().receive(hints.hints(), context.nowMs());
    context.emit(new Effect.AcknowledgeHints(hints.ticket()));
  }

  /** The status that this node reports to a peer. */
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

  private void tick() {
    election.tick();
    jobs.tick();
    peers.tick(this::statusFor);
    users.tick();
    leaseProxy.tick();
    heartbeats.tick();
    reader.tick();
    standby.tick();
    if (election.isLeading()) {
      commander.tick();
      if (isRecoveredLeader()) {
        tickRecoveredLeader();
      }
      reachability.resignIfUnreachable();
    }
  }

  private void tickRecoveredLeader() {
    scheduler.tick();
    version.tick();
    cloud.tick();
    archiver.tick();
    finishedJobLoader.tick();
    hintPublisher.tick();
    schedulingLoop.planIfDue();
  }

  /** Whether this node surely leads, and its memory holds what is committed. */
  private boolean isRecoveredLeader() {
    return recovered && election.isLeaseValid();
  }

  /** A job turns out to be cancelled: no task of it may go on, whatever memory holds of it. */
  private void onCancelled(String uid) {
    if (election.isLeading()) {
      jobs.markCancelled(uid);
      commander.onJobCancelled(uid);
    }
  }

  @Override
  public void onElected() {
    leaseProxy.stop();
    reachability.onElected();
    hintPublisher.onElected();
    failoverTimer.onElected();
    clearLeaderState();
    commander.onElected();
    recovery.recover();
  }

  @Override
  public void onLeadershipLost() {
    clearLeaderState();
    standby.onLeadershipLost();
    failoverTimer.onLeadershipLost();
  }

  private void clearLeaderState() {
    recovered = false;
    reader.cancelPending();
    users.setRecovered(false);
    readBarrier.failWaiters();
    cancellations.reset();
    archiver.reset();
    finishedJobLoader.reset();
    jobs.clear();
    fleet.clear();
    cloud.reset();
    scheduler.clear();
    autoscaler.reset();
  }

  private void onRecovered(boolean fromReplica) {
    recovered = true;
    hintPublisher.apply(standby.hints());
    standby.hints().clear();
    failoverTimer.recordRecovery(fromReplica);
    users.setRecovered(true);
    commander.onRecovered();
    fleet.machines().forEach(commander::reconcile);
  }
}
