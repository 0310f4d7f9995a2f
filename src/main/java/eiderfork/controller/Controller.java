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
 * A controller node as a deterministic state machine: takes timed inputs and returns the requests
 * and responses to send as effects. It uses no clock, thread or socket.
 *
 * <p>The constructor creates the components in the order of their dependencies. Four callbacks go
 * against that order, from an earlier component to a later one, and are only called while an input
 * is handled: the election notifies this class ({@link LeaderElection.Listener}) and consults the
 * reachability of peers and the standbys' yield rule, which are set after its construction; the
 * cancellation tracker notifies {@link #onCancelled}; the recovery notifies {@link #onRecovered}.
 */
public final class Controller implements LeaderElection.Listener {
  /** The number of ticks per step; a tick is the resolution of all timers. */
  private static final int TICKS_PER_STEP = 20;

  // Store access and leader election.
  private final ControllerContext context;
  private final StoreClient store;
  private final LeaderElection election;

  // State exchanged between the members of the cluster.
  private final ClusterVersion clusterVersion;
  private final CancellationTracker cancellations;
  private final PeerMonitor peers;
  private final LeaseProxy leaseProxy;

  // The leader's in-memory state of jobs and machines.
  private final JobRegistry jobs;
  private final MachineRegistry fleet;

  // Communication with workers.
  private final WorkerReachability reachability;
  private final RangeReader rangeReader;
  private final WorkerCommander commander;
  private final HeartbeatHandler heartbeats;

  // Scheduling and scaling.
  private final RoundTrigger roundTrigger = new RoundTrigger();
  private final Scheduler scheduler;
  private final CloudProvisioner cloud;
  private final Autoscaler autoscaler;
  private final SchedulingLoop schedulingLoop;

  // User requests, and jobs that have ended.
  private final ReadBarrier readBarrier;
  private final UserRequestHandler userRequests;
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
   * Creates a controller that is a follower until it is elected.
   *
   * @param random the source of random backoffs and samples
   * @param nowMs the current monotonic time
   */
  public Controller(Settings settings, RandomGenerator random, long nowMs) {
    this(settings, random, nowMs, ClusterVersion.CURRENT);
  }

  /** Creates a controller that reports this version to its peers and behaves accordingly. */
  Controller(Settings settings, RandomGenerator random, long nowMs, int ownVersion) {
    context = new ControllerContext(settings, random, nowMs);
    store = new StoreClient(context);
    election = new LeaderElection(context, store, this);

    clusterVersion = new ClusterVersion(context, store, election, ownVersion);
    cancellations = new CancellationTracker(context, this::onCancelled);
    peers = new PeerMonitor(context, election, cancellations, clusterVersion);
    election.setPeerReachability(peers);
    leaseProxy = new LeaseProxy(context, store, election, peers, cancellations, clusterVersion);

    jobs = new JobRegistry(context, store, election, clusterVersion);
    fleet = new MachineRegistry(context, jobs);

    MachineLiveness liveness = new MachineLiveness(context, election);
    reachability = new WorkerReachability(context, election, fleet, liveness, peers, leaseProxy);
    rangeReader = new RangeReader(store, election);
    WorkerLeaseLog leaseLog = new WorkerLeaseLog(context);
    LeaseExpiry leaseExpiry =
        new LeaseExpiry(
            context,
            fleet,
            peers,
            liveness,
            leaseLog,
            rangeReader::readProxiedMachines,
            roundTrigger::request);
    commander = newCommander(liveness, leaseExpiry, leaseLog);
    heartbeats =
        new HeartbeatHandler(context, election, commander, cancellations, leaseProxy, reachability);
    scheduler = new Scheduler(context, store, jobs, fleet, liveness, clusterVersion);
    cloud = new CloudProvisioner(context, election, store, fleet);
    autoscaler =
        new Autoscaler(context, store, jobs, fleet, liveness, leaseExpiry, cloud, scheduler);
    schedulingLoop =
        new SchedulingLoop(
            context, roundTrigger, fleet, scheduler, autoscaler, commander, tickIntervalMs());

    StoredRecordRestorer restorer =
        new StoredRecordRestorer(jobs, fleet, cloud, cancellations, clusterVersion);
    CommittedChangeApplier changes =
        new CommittedChangeApplier(restorer, jobs, cancellations, autoscaler, roundTrigger);
    readBarrier = new ReadBarrier(context, store, changes::apply, cancellations::recordCaughtUp);
    userRequests =
        new UserRequestHandler(
            context,
            election,
            store,
            jobs,
            fleet,
            autoscaler,
            readBarrier,
            cancellations,
            clusterVersion,
            roundTrigger::request);
    forwardedQueries = new ForwardedQueryHandler(context, userRequests);
    healthChecks = new HealthCheckHandler(context, store, peers);
    JobPageReader jobPages = new JobPageReader(rangeReader);
    finishedJobLoader =
        new FinishedJobLoader(context, election, jobs, fleet, cancellations, jobPages);
    archiver =
        new JobArchiver(
            context, store, election, clusterVersion, jobs, cancellations, finishedJobLoader);

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
        clusterVersion,
        roundTrigger::request);
  }

  private LeaderRecovery newRecovery(
      StoredRecordRestorer restorer, CommittedChangeApplier changes, JobPageReader jobPages) {
    return new LeaderRecovery(
        election,
        standby,
        new ReplicaRecovery(rangeReader, restorer, cancellations, finishedJobLoader),
        new FullReadRecovery(
            context, rangeReader, jobPages, restorer, cancellations, finishedJobLoader),
        new CommittedChangeWatcher(
            context, store, rangeReader, readBarrier, cancellations, changes),
        readBarrier,
        jobs,
        fleet,
        roundTrigger,
        this::onRecovered);
  }

  /** Handles an input at {@code nowMs} of a monotonic clock and returns the resulting effects. */
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

  /** Returns the interval at which the controller expects a {@link Input.Tick}. */
  public long tickIntervalMs() {
    return Math.max(1, context.stepMs() / TICKS_PER_STEP);
  }

  /** Returns the number of machine examinations in the last round plus those in the last plan. */
  int totalMachineExaminations() {
    return scheduler.machineExaminations() + autoscaler.examinedBins();
  }

  /** Returns the number of machine examinations in the last round. */
  int roundMachineExaminations() {
    return scheduler.machineExaminations();
  }

  /** Returns whether the state of the current term was recovered from a standby's replica. */
  boolean recoveredFromReplica() {
    return failoverTimer.isFromReplica();
  }

  /** Returns whether this node maintains a replica from which it could recover as the leader. */
  boolean isStandby() {
    return standby.replica().isFollowing();
  }

  /** Returns the number of jobs in memory, including ended ones. */
  int jobsInMemory() {
    return jobs.size();
  }

  private void dispatch(Input input) {
    if (input instanceof Input.Tick) {
      tick();
    } else if (input instanceof Input.CallCompleted completion) {
      context.completeCall(completion.callId(), completion.reply());
    } else if (input instanceof Input.WorkerHeartbeat message) {
      heartbeats.handle(message.ticket(), message.heartbeat());
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
    userRequests.handle(
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

  /** Returns the status that this node sends to a peer. */
  private PeerStatus statusFor(String peer) {
    return new PeerStatus(
        context.settings.nodeName(),
        election.currentTerm(),
        election.isLeading(),
        store.sinceServedMs(),
        reachability.reachableMachineCount(),
        clusterVersion.ownVersion(),
        cancellations.gossipFor(peer));
  }

  private void tick() {
    election.tick();
    jobs.tick();
    peers.tick(this::statusFor);
    userRequests.tick();
    leaseProxy.tick();
    heartbeats.tick();
    rangeReader.tick();
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
    clusterVersion.tick();
    cloud.tick();
    archiver.tick();
    finishedJobLoader.tick();
    hintPublisher.tick();
    schedulingLoop.planIfDue();
  }

  /** Returns whether this node certainly leads and its memory contains all committed state. */
  private boolean isRecoveredLeader() {
    return recovered && election.isLeaseValid();
  }

  /**
   * Handles the cancellation of a job. The leader stops all of its tasks, whatever state of the job
   * is in memory.
   */
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
    rangeReader.cancelPending();
    userRequests.setRecovered(false);
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
    userRequests.setRecovered(true);
    commander.onRecovered();
    fleet.machines().forEach(commander::reconcile);
  }
}
