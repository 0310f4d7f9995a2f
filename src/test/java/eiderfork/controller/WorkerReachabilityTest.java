package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.cluster.PeerMonitor;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.CancellationGossip;
import eiderfork.controller.message.PeerStatus;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.StoreClient;
import eiderfork.controller.workers.LeaseProxy;
import eiderfork.controller.workers.MachineLiveness;
import eiderfork.controller.workers.WorkerReachability;
import eiderfork.model.Heartbeat;
import eiderfork.model.Machine;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A leader that receives heartbeats from few workers resigns, but not right after its election. */
class WorkerReachabilityTest {
  private static final int MACHINES = 4;

  private static final long OLD_HEARTBEAT_TIME_MS = 1;

  private long sequenceNumber = 1;

  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1_000_000);
  private final StoreClient store = new StoreClient(context);
  private final LeaderElection election =
      new LeaderElection(context, store, ElectedLeader.NO_LISTENER);
  private final ClusterVersion version = new ClusterVersion(context, store, election);
  private final JobRegistry jobs = new JobRegistry(context, store, election, version);
  private final MachineRegistry fleet = new MachineRegistry(context, jobs);
  private final CancellationTracker cancellations = new CancellationTracker(context, uid -> {});
  private final PeerMonitor peers = new PeerMonitor(context, election, cancellations, version);
  private final LeaseProxy proxy =
      new LeaseProxy(context, store, election, peers, cancellations, version);
  private final WorkerReachability reachability =
      new WorkerReachability(
          context, election, fleet, new MachineLiveness(context, election), peers, proxy);

  /** Elects this node, which knows four machines that have sent no recent heartbeat. */
  @BeforeEach
  void elect() {
    ElectedLeader.elect(context, election);
    reachability.onElected();
    for (int i = 0; i < MACHINES; i++) {
      Heartbeat heartbeat = heartbeat("n-" + i, 1);
      fleet.getOrRegister(heartbeat.machine()).recordHeartbeat(heartbeat, OLD_HEARTBEAT_TIME_MS);
    }
  }

  private static Heartbeat heartbeat(String name, long sequenceNumber) {
    Machine machine = new Machine(name, name + ":1", "g4", "a", false);
    return new Heartbeat(machine, 1, sequenceNumber, 0, null, ImmutableList.of());
  }

  /** Advances half a step; one machine and a peer that all machines reach send their status. */
  private void advanceHalfStep() {
    context.advanceBy(context.stepMs() / 2);
    fleet.recordHeartbeat(fleet.get("n-0"), heartbeat("n-0", ++sequenceNumber));
    CancellationGossip emptyGossip = cancellations.gossipFor("roost-1");
    peers.receiveStatus(
        new PeerStatus("roost-1", election.currentTerm(), false, 0, MACHINES, 4, emptyGossip));
    reachability.resignIfUnreachable();
  }

  /** Workers that were still waiting 4 s for the previous leader need time to reconnect. */
  @Test
  void newLeaderDoesNotResignBeforeWorkersCanReconnect() {
    long electedMs = context.nowMs();
    while (context.nowMs() - electedMs < 6 * context.stepMs()) {
      advanceHalfStep();
      assertTrue(
          election.isLeading(),
          () -> "resigned " + (context.nowMs() - electedMs) + " ms after its election");
    }
  }

  @Test
  void leaderResignsWhenMoreWorkersReachAPeer() {
    long electedMs = context.nowMs();
    while (context.nowMs() - electedMs < 8 * context.stepMs()) {
      advanceHalfStep();
    }
    assertFalse(election.isLeading());
  }
}
