package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.CancellationGossip;
import eiderfork.controller.message.PeerStatus;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Heartbeat;
import eiderfork.model.Machine;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When a leader that hears few workers gives the lead up. */
class WorkerReachabilityTest {
  private static final int MACHINES = 4;

  private static final long LONG_AGO_MS = 1;

  private long seq = 1;

  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1_000_000);
  private final StoreClient gate = new StoreClient(context);
  private final LeaderElection term = new LeaderElection(context, gate, ElectedLeader.NO_LISTENER);
  private final ClusterVersion version = new ClusterVersion(context, gate, term);
  private final JobRegistry jobs = new JobRegistry(context, gate, term, version);
  private final MachineRegistry fleet = new MachineRegistry(context, jobs);
  private final CancellationTracker cancellations = new CancellationTracker(context, uid -> {});
  private final PeerMonitor peers = new PeerMonitor(context, term, cancellations, version);
  private final LeaseProxy proxy = new LeaseProxy(context, gate, term, peers, cancellations);
  private final WorkerReachability hearing =
      new WorkerReachability(
          context, term, fleet, new MachineLiveness(context, term), peers, proxy);

  /** This node has just been elected; of its machines it hears one. */
  @BeforeEach
  void elected() {
    ElectedLeader.win(context, term);
    hearing.elected();
    for (int i = 0; i < MACHINES; i++) {
      Heartbeat report = report("n-" + i, 1);
      fleet.known(report.machine()).reported(report, LONG_AGO_MS);
    }
  }

  private static Heartbeat report(String name, long seq) {
    Machine machine = new Machine(name, name + ":1", "g4", "a", false);
    return new Heartbeat(machine, 1, seq, 0, null, ImmutableList.of());
  }

  /** Half a step later; one machine and a peer that hears all machines are heard. */
  private void goOn() {
    context.nowMs += context.stepMs() / 2;
    fleet.reported(fleet.get("n-0"), report("n-0", ++seq));
    CancellationGossip none = cancellations.newsFor("roost-1");
    peers.heard(new PeerStatus("roost-1", term.number(), false, 0, MACHINES, 4, none));
    hearing.resignIfUnheard();
  }

  /** Workers that waited four seconds for the leader before need time to come. */
  @Test
  void aNewLeaderIsNotJudgedBeforeWorkersCouldCome() {
    long electedMs = context.nowMs;
    while (context.nowMs - electedMs < 6 * context.stepMs()) {
      goOn();
      assertTrue(term.leading(), () -> "after " + (context.nowMs - electedMs) + " ms");
    }
  }

  @Test
  void oneThatGoesOnHearingFewerThanAPeerResigns() {
    long electedMs = context.nowMs;
    while (context.nowMs - electedMs < 8 * context.stepMs()) {
      goOn();
    }
    assertFalse(term.leading());
  }
}
