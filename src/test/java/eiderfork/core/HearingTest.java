package eiderfork.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.core.context.Context;
import eiderfork.core.message.CancellationNews;
import eiderfork.core.message.PeerView;
import eiderfork.core.state.StateGate;
import eiderfork.core.state.Term;
import eiderfork.model.Machine;
import eiderfork.model.Report;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When a leader that hears few workers gives the lead up. */
class HearingTest {
  private static final int MACHINES = 4;

  private static final long LONG_AGO_MS = 1;

  private long seq = 1;

  private final Context context =
      new Context(Samples.settings("roost-0"), new Random(1), 1_000_000);
  private final StateGate gate = new StateGate(context);
  private final Term term = new Term(context, gate, Election.NO_LISTENER);
  private final ClusterVersion version = new ClusterVersion(context, gate, term);
  private final JobTable jobs = new JobTable(context, gate, term, version);
  private final Fleet fleet = new Fleet(context, jobs);
  private final Cancellations cancellations = new Cancellations(context, uid -> {});
  private final Peers peers = new Peers(context, term, cancellations, version);
  private final LeaseProxy proxy = new LeaseProxy(context, gate, term, peers, cancellations);
  private final Hearing hearing =
      new Hearing(context, term, fleet, new MachineLiveness(context, term), peers, proxy);

  /** This node has just been elected; of its machines it hears one. */
  @BeforeEach
  void elected() {
    Election.win(context, term);
    hearing.elected();
    for (int i = 0; i < MACHINES; i++) {
      Report report = report("n-" + i, 1);
      fleet.known(report.machine()).reported(report, LONG_AGO_MS);
    }
  }

  private static Report report(String name, long seq) {
    Machine machine = new Machine(name, name + ":1", "g4", "a", false);
    return new Report(machine, 1, seq, 0, null, ImmutableList.of());
  }

  /** Half a step later; one machine and a peer that hears all machines are heard. */
  private void goOn() {
    context.nowMs += context.stepMs() / 2;
    fleet.reported(fleet.get("n-0"), report("n-0", ++seq));
    CancellationNews none = cancellations.newsFor("roost-1");
    peers.heard(new PeerView("roost-1", term.number(), false, 0, MACHINES, 4, none));
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
