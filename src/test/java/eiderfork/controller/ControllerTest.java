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
import eiderfork.controller.message.Input;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.StoreClient;
import eiderfork.controller.workers.LeaseExpiry;
import eiderfork.controller.workers.MachineLiveness;
import eiderfork.controller.workers.WorkerCommander;
import eiderfork.controller.workers.WorkerLeaseLog;
import eiderfork.model.Attempt;
import eiderfork.model.Heartbeat;
import eiderfork.model.Machine;
import eiderfork.model.StoredRecord;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests a single controller, one input at a time. */
class ControllerTest {
  private final Controller controller =
      new Controller(TestFixtures.settings("roost-0"), new Random(1), 0);
  private final List<Effect> effects = new ArrayList<>();

  private void handle(long nowMs, Input input) {
    effects.addAll(controller.handle(nowMs, input));
  }

  private static Input heartbeat(long ticket) {
    Machine machine = new Machine("n-1", "n-1:1", "g4", "a", false);
    return new Input.WorkerHeartbeat(
        ticket, new Heartbeat(machine, 1, 5, 3, null, ImmutableList.of()));
  }

  private List<Effect.RedirectWorker> redirects() {
    return effects.stream()
        .filter(Effect.RedirectWorker.class::isInstance)
        .map(Effect.RedirectWorker.class::cast)
        .toList();
  }

  /**
   * A worker that is redirected without the leader's name waits another second. After a crash of
   * the leader, its lease expired in that time.
   */
  @Test
  void heartbeatIsDeferredUntilTheLeaderIsKnown() {
    handle(0, new Input.Tick());
    handle(10, heartbeat(7));
    assertTrue(redirects().isEmpty());
    observeLeader(300);
    assertEquals(List.of(new Effect.RedirectWorker(7, "roost-2")), redirects());
  }

  /** The node learns that another one leads term 4. */
  private void observeLeader(long nowMs) {
    long readCallId =
        effects.stream()
            .filter(Effect.CallStore.class::isInstance)
            .map(Effect.CallStore.class::cast)
            .filter(call -> call.request().equals(new StoreRequest.Get(StoreKeys.LEADER)))
            .findFirst()
            .orElseThrow()
            .callId();
    handle(
        nowMs,
        new Input.CallCompleted(
            readCallId, new Reply.Value(new StoredRecord.Leadership("roost-2", 4), 9)));
  }

  /** Returns a heartbeat with a fencing token of term 4, with a running task or without tasks. */
  private static Input heartbeatOfTerm4(long ticket, boolean hasTask) {
    Machine machine = new Machine("n-" + ticket, "n-" + ticket + ":1", "g4", "a", false);
    TaskStatus task =
        new TaskStatus(
            new Attempt(new TaskId("run-000001", 0), 1), TaskStatus.State.RUNNING, null, false);
    ImmutableList<TaskStatus> tasks = hasTask ? ImmutableList.of(task) : ImmutableList.of();
    long fencingToken = (4L << LeaderElection.TOKEN_SEQUENCE_BITS) + 1;
    return new Input.WorkerHeartbeat(
        ticket, new Heartbeat(machine, 1, 5, fencingToken, null, tasks));
  }

  /**
   * A worker with tasks that was served by the leader of this term and now contacts this node could
   * not reach the leader. Redirected back at once, it would wait for that leader until half of its
   * lease is over.
   */
  @Test
  void workerThatHasLostTheLeaderIsNotRedirectedBackAtOnce() {
    handle(0, new Input.Tick());
    observeLeader(10);
    handle(20, heartbeatOfTerm4(7, true));
    handle(20, heartbeatOfTerm4(8, false));
    assertEquals(List.of(new Effect.RedirectWorker(8, "roost-2")), redirects());
    handle(2900, new Input.Tick());
    assertEquals(1, redirects().size(), "redirects before three steps have passed");
    handle(3050, new Input.Tick());
    assertEquals(7, redirects().get(1).ticket());
  }

  /**
   * Commands to all machines at once, in addition to the heartbeats of all workers, once used up
   * all sockets.
   */
  @Test
  void newLeaderContactsNoMoreMachinesAtOnceThanItsSocketsAllow() {
    ControllerContext context =
        new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
    StoreClient store = new StoreClient(context);
    LeaderElection election = new LeaderElection(context, store, null);
    ClusterVersion version = new ClusterVersion(context, store, election);
    JobRegistry jobs = new JobRegistry(context, store, election, version);
    MachineRegistry fleet = new MachineRegistry(context, jobs);
    CancellationTracker cancellations = new CancellationTracker(context, uid -> {});
    MachineLiveness liveness = new MachineLiveness(context, election);
    PeerMonitor peers = new PeerMonitor(context, election, cancellations, version);
    WorkerLeaseLog leaseLog = new WorkerLeaseLog(context);
    LeaseExpiry leaseExpiry =
        new LeaseExpiry(context, fleet, peers, liveness, leaseLog, onComplete -> {}, () -> {});
    WorkerCommander commander =
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
    for (int i = 0; i < 100; i++) {
      fleet.getOrRegister(new Machine("n-" + i, "n-" + i + ":1", "g4", "a", false));
    }
    commander.onElected();
    context.advanceTo(5000);
    commander.tick();
    int maxConnections = context.settings.controllerResources().maxOutboundConnections();
    assertEquals(maxConnections - maxConnections / 2, context.drainEffects().size());
    commander.tick();
    assertTrue(context.drainEffects().isEmpty(), "further machines contacted before a response");
  }

  @Test
  void heartbeatIsRedirectedAfterAnIntervalWithoutAKnownLeader() {
    handle(10, heartbeat(7));
    handle(900, new Input.Tick());
    assertTrue(redirects().isEmpty());
    handle(1010, new Input.Tick());
    assertEquals(List.of(new Effect.RedirectWorker(7, null)), redirects());
  }

  /**
   * A worker's own timeout is 4 s whatever the heartbeat interval. Deferring a response for a whole
   * long interval exceeded that timeout.
   */
  @Test
  void heartbeatIsDeferredNoLongerWithALongInterval() {
    Controller longLeaseController =
        new Controller(TestFixtures.longLeaseSettings(), new Random(1), 0);
    longLeaseController.handle(10, heartbeat(7));
    List<Effect> laterEffects = longLeaseController.handle(1010, new Input.Tick());
    assertTrue(laterEffects.contains(new Effect.RedirectWorker(7, null)), laterEffects::toString);
  }
}
