package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which workers report to this node. A leader that most of them can't reach gives the lead up to a
 * peer that hears more.
 */
final class WorkerReachability {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerReachability.class);

  /** How long a new leader waits for the first report of any machine, in steps. */
  private static final int FIRST_REPORTS_STEPS = 4;

  /** How long workers may take to find a new leader: an answer waited for in vain, and a report. */
  private static final int SETTLED_STEPS = 6;

  /** Of fewer machines all may be silent by chance. */
  private static final int FEWEST_FOR_SILENCE = 3;

  private final ControllerContext context;
  private final LeaderElection term;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final PeerMonitor peers;
  private final LeaseProxy leaseProxy;

  /** When each machine last reported here, whether this node leads or not. */
  private final Map<String, Long> heardMs = new HashMap<>();

  private long countedMs;
  private long checkNextMs;
  private long electedMs;
  private long awakeMs;

  WorkerReachability(
      ControllerContext context,
      LeaderElection term,
      MachineRegistry fleet,
      MachineLiveness liveness,
      PeerMonitor peers,
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
    boolean stoodStill = context.nowMs - checkNextMs > context.stepMs();
    checkNextMs = context.nowMs + context.stepMs() / 2;
    if (stoodStill) {
      // What came meanwhile is still to be read.
      awakeMs = context.nowMs;
    }
    int known = 0;
    int heard = 0;
    int tasked = 0;
    for (MachineState m : fleet.machines()) {
      if (m.report() != null && !m.returning) {
        known++;
        heard += liveness.heard(m) ? 1 : 0;
      }
      tasked += m.placed.isEmpty() ? 0 : 1;
    }
    if (known >= FEWEST_FOR_SILENCE && heard == 0 && isLongAwake() && peers.anyServed()) {
      // All at once: it is this node that is cut off. Workers wait four seconds for an answer here
      // before a peer could hear them, and half of their lease was over before it took the lead.
      LOG.info("hears none of {} machines any more", known);
      term.resign(context.leaseMs());
    } else if (known >= 2 && heard * 2 < known && isSettled() && peers.betterHeard(heard)) {
      LOG.info("hears {} of {} machines, a peer hears more", heard, known);
      term.resign(context.leaseMs());
    } else if (known == 0
        && tasked >= 2
        && isLongElected()
        && peers.betterHeard(fewestElsewhere())) {
      // A leader that was cut from the workers when it was elected once held the lead for 32 s.
      LOG.info("has heard none of {} machines with tasks, a peer hears some", tasked);
      term.resign(context.leaseMs());
    }
  }

  /**
   * More machines than this have to report to a peer. After a while one is enough: where the leader
   * before can't reach the state service, workers go round between the nodes and each of them is
   * seldom heard at the one that could lead.
   */
  private int fewestElsewhere() {
    return context.nowMs - electedMs > 2 * FIRST_REPORTS_STEPS * context.stepMs() ? 0 : 1;
  }

  /**
   * Whether this node has led, and run, for long enough that silence is not of its own making. A
   * leader that takes over from one that heard nobody has no machines that it knows; where no
   * worker reaches any node the lead moves once, and not to and fro.
   */
  private boolean isLongAwake() {
    return context.nowMs - Math.max(electedMs, awakeMs) > context.leaseMs();
  }

  /**
   * Whether workers that waited for an answer elsewhere have had the time to come here. A leader
   * that took over from one that was cut from all of them once resigned before they did.
   */
  private boolean isSettled() {
    return context.nowMs - electedMs > SETTLED_STEPS * context.stepMs();
  }

  /** Whether workers that can reach this node have had the time to find it. */
  private boolean isLongElected() {
    return context.nowMs - electedMs > FIRST_REPORTS_STEPS * context.stepMs();
  }
}
