package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.cluster.PeerMonitor;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.controller.workers.LeaseExpiry;
import eiderfork.controller.workers.MachineLiveness;
import eiderfork.controller.workers.WorkerCommander;
import eiderfork.controller.workers.WorkerLeaseLog;
import eiderfork.model.Heartbeat;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;

/** A leader of term 1 with one worker and a job of two tasks; tests advance the time. */
abstract class LeaderAndWorkerFixture {
  static final Machine MACHINE = new Machine("n-1", "n-1:1", "g4", "a", false);
  static final long INCARNATION = 1;

  /** The number of nodes; three are in one zone, five in two. */
  private final int nodeCount;

  final ControllerContext context;
  final StoreClient store;
  final LeaderElection election;
  final JobRegistry jobs;
  final MachineRegistry fleet;
  final MachineLiveness liveness;
  final LeaseExpiry leaseExpiry;
  final WorkerLeaseLog leaseLog;
  final WorkerCommander commander;

  /** Pending reads of the lease proxies' records. */
  final Deque<Consumer<Set<String>>> proxyReads = new ArrayDeque<>();

  JobState job;
  MachineState machine;
  long firstToken;

  LeaderAndWorkerFixture(int nodeCount) {
    this.nodeCount = nodeCount;
    context =
        new ControllerContext(
            TestFixtures.settings("roost-0", nodeCount), new Random(1), 1_000_000);
    store = new StoreClient(context);
    election = new LeaderElection(context, store, ElectedLeader.NO_LISTENER);
    ClusterVersion version = new ClusterVersion(context, store, election);
    jobs = new JobRegistry(context, store, election, version);
    fleet = new MachineRegistry(context, jobs);
    CancellationTracker cancellations = new CancellationTracker(context, uid -> {});
    liveness = new MachineLiveness(context, election);
    PeerMonitor peers = new PeerMonitor(context, election, cancellations, version);
    leaseLog = new WorkerLeaseLog(context);
    leaseExpiry =
        new LeaseExpiry(context, fleet, peers, liveness, leaseLog, proxyReads::add, () -> {});
    commander =
        new WorkerCommander(
            context,
            election,
            jobs,
            fleet,
            cancellations,
            liveness,
            leaseExpiry,
            leaseLog,
            version,
            () -> {});
  }

  /** Makes this node the leader of term 1, with a job of two tasks and an empty machine. */
  @BeforeEach
  void becomeLeader() {
    ElectedLeader.elect(context, election);
    // Fills the leader's share of the rate limits.
    context.advanceBy(500);
    assertTrue(election.isLeaseValid());
    context.drainEffects();
    commander.onElected();
    commander.onRecovered();
    fleet.updateTypes(
        ImmutableList.of(
            new MachineType("g4", new Resources(4, 4, 64), 50, 2, 8, 3, 4, ImmutableList.of("a"))));
    job = jobs.add(TestFixtures.job(1, JobKind.ARRAY, 2, 1), 1);
    firstToken = election.firstFencingToken() + 1;
    sendHeartbeat(INCARNATION, 1, firstToken);
    machine = fleet.get("n-1");
  }

  <T extends Effect> List<T> drainEffects(Class<T> kind) {
    return ElectedLeader.drainEffects(context, kind);
  }

  /** Advances the time by at most a tick and renews the leader's own lease. */
  void advanceBy(long ms) {
    context.advanceBy(ms);
    election.tick();
    store.sendQueued();
    for (Effect.CallStore storeCall : drainEffects(Effect.CallStore.class)) {
      if (storeCall.request() instanceof StoreRequest.RenewLease renew) {
        context.completeCall(storeCall.callId(), new Reply.Leased(renew.leaseId()));
      }
    }
    context.drainEffects();
  }

  /** Replies to the only pending call to the store. */
  void replyToStoreCall(Reply reply) {
    ElectedLeader.replyToStoreCall(context, reply);
  }

  List<WorkerCommand> sendHeartbeat(
      long incarnation, long sequenceNumber, long fencingToken, TaskStatus... tasks) {
    context.drainEffects();
    commander.handleHeartbeat(1, heartbeat(incarnation, sequenceNumber, fencingToken, tasks));
    List<Effect.RespondToWorker> answers = drainEffects(Effect.RespondToWorker.class);
    return answers.isEmpty() ? List.of() : answers.get(0).commands();
  }

  static Heartbeat heartbeat(
      long incarnation, long sequenceNumber, long fencingToken, TaskStatus... tasks) {
    return new Heartbeat(
        MACHINE, incarnation, sequenceNumber, fencingToken, null, ImmutableList.copyOf(tasks));
  }

  static TaskStatus runningStatus(Reservation task) {
    return new TaskStatus(task.toAttempt(), TaskStatus.State.RUNNING, null, false);
  }

  static TaskStatus doneStatus(Reservation task) {
    return new TaskStatus(task.toAttempt(), TaskStatus.State.ENDED, TaskStatus.Cause.DONE, false);
  }

  Reservation reserveTask() {
    Reservation task = jobs.propose(job, 0, job.nextAttemptNumber(), machine);
    jobs.write(job, RequestPriority.START);
    replyToStoreCall(new Reply.Committed(5));
    assertTrue(task.isCommitted());
    return task;
  }

  /** Reserves a task and starts it; heartbeat 3 reports it as running. */
  Reservation startTask() {
    Reservation task = reserveTask();
    sendHeartbeat(INCARNATION, 2, firstToken);
    sendHeartbeat(INCARNATION, 3, firstToken, runningStatus(task));
    assertEquals(TaskStatus.State.RUNNING, task.reportedState());
    return task;
  }
}
