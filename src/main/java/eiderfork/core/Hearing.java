package eiderfork.core;

import eiderfork.core.context.Context;
import eiderfork.core.state.Term;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which workers report to this node. A leader that most of them can't reach gives the lead up to a
 * peer that hears more.
 */
final class Hearing {
  private static final Logger LOG = LoggerFactory.getLogger(Hearing.class);

  /** How long a new leader waits for the first report of any machine, in steps. */
  private static final int FIRST_REPORTS_STEPS = 4;

  private final Context context;
  private final Term term;
  private final Fleet fleet;
  private final MachineLiveness liveness;
  private final Peers peers;
  private final LeaseProxy leaseProxy;

  /** When each machine last reported here, whether this node leads or not. */
  private final Map<String, Long> heardMs = new HashMap<>();

  private long countedMs;
  private long checkNextMs;
  private long electedMs;

  Hearing(
      Context context,
      Term term,
      Fleet fleet,
      MachineLiveness liveness,
      Peers peers,
      LeaseProxy leaseProxy) {
    this.context = context;
    this.term = term;
    this.fleet = fleet;
    this.liveness = liveness;
    this.peers = peers;
    this.leaseProxy = leaseProxy;
  }

  /** This node leads now. */
  void elected() {
    electedMs = context.nowMs;
  }

  /** A machine reports here. */
  void heard(String machine) {
    heardMs.put(machine, context.nowMs);
  }

  /** How many machines report here, counted once in half a step. */
  int count() {
    if (context.nowMs - countedMs >= context.stepMs() / 2) {
      countedMs = context.nowMs;
      heardMs.values().removeIf(at -> context.nowMs - at > liveness.silentMs());
    }
    // Machines that have to be answered here don't need this node to lead.
    return Math.max(0, heardMs.size() - leaseProxy.machineCount());
  }

  /** Workers that can't reach this leader, but can reach a peer, need that peer to lead. */
  void resignIfUnheard() {
    if (context.nowMs < checkNextMs) {
      return;
    }
    checkNextMs = context.nowMs + context.stepMs();
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
}
