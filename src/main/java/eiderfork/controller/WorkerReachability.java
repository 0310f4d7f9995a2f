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
  private static final int FIRST_HEARTBEATS_STEPS = 4;

  /** How long workers may take to find a new leader: an answer waited for in vain, and a report. */
  private static final int RECONNECT_STEPS = 6;

  /** Of fewer machines all may be silent by chance. */
  private static final int MIN_MACHINES_FOR_SILENCE = 3;

  private final ControllerContext context;
  private final LeaderElection election;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final PeerMonitor peers;
  private final LeaseProxy leaseProxy;

  /** When each machine last reported here, whether this node leads or not. */
  private final Map<String, Long> lastHeartbeatMs = new HashMap<>();

  private long lastCountMs;
  private long nextCheckMs;
  private long electedMs;
  private long resumedMs;

  WorkerReachability(
      ControllerContext context,
      LeaderElection election,
      MachineRegistry fleet,
      MachineLiveness liveness,
      PeerMonitor peers,
      LeaseProxy leaseProxy) {
    this.context = context;
    this.election = election;
    this.fleet = fleet;
    this.liveness = liveness;
    this.peers = peers;
    this.leaseProxy = leaseProxy;
  }

  /** This node leads now. */
  void onElected() {
    electedMs = context.nowMs;
  }

  /** A machine reports here. */
  void recordHeartbeat(String machineName) {
    lastHeartbeatMs.put(machineName, context.nowMs);
  }

  /** How many machines report here, counted once in half a step. */
  int reachableMachineCount() {
    if (context.nowMs - lastCountMs >= context.stepMs() / 2) {
      lastCountMs = context.nowMs;
      lastHeartbeatMs.values().removeIf(at -> context.nowMs - at > liveness.heartbeatTimeoutMs());
    }
    // Machines that have to be answered here don't need this node to lead.
    return Math.max(0, lastHeartbeatMs.size() - leaseProxy.proxiedMachineCount());
  }

  /** Workers that can't reach this leader, but can reach a peer, need that peer to lead. */
  void resignIfUnreachable() {
    if (context.nowMs < nextCheckMs) {
      return;
    }
    boolean stoodStill = context.nowMs - nextCheckMs > context.stepMs();
    nextCheckMs = context.nowMs + context.stepMs() / 2;
    if (stoodStill) {
      // What came meanwhile is still to be read.
      resumedMs = context.nowMs;
    }
    int known = 0;
    int heard = 0;
    int tasked = 0;
    for (MachineState machine : fleet.machines()) {
      if (machine.lastHeartbeat() != null && !machine.lifecycle().isScalingIn()) {
        known++;
        heard += liveness.hasRecentHeartbeat(machine) ? 1 : 0;
      }
      tasked += machine.reservations().isEmpty() ? 0 : 1;
    }
    if (known >= MIN_MACHINES_FOR_SILENCE
        && heard == 0
        && hasRunLongEnough()
        && peers.isAnyServedByStore()) {
      // All at once: it is this node that is cut off. Workers wait four seconds for an answer here
      // before a peer could hear them, and half of their lease was over before it took the lead.
      LOG.info("hears none of {} machines any more", known);
      election.resign(context.workerLeaseMs());
    } else if (known >= 2
        && heard * 2 < known
        && hasReconnectTimePassed()
        && peers.hasPeerWithMoreMachines(heard)) {
      LOG.info("hears {} of {} machines, a peer hears more", heard, known);
      election.resign(context.workerLeaseMs());
    } else if (known == 0
        && tasked >= 2
        && hasFirstHeartbeatsTimePassed()
        && peers.hasPeerWithMoreMachines(minMachinesAtPeer())) {
      // A leader that was cut from the workers when it was elected once held the lead for 32 s.
      LOG.info("has heard none of {} machines with tasks, a peer hears some", tasked);
      election.resign(context.workerLeaseMs());
    }
  }

  /**
   * More machines than this have to report to a peer. After a while one is enough: where the leader
   * before can't reach the state service, workers go round between the nodes and each of them is
   * seldom heard at the one that could lead.
   */
  private int minMachinesAtPeer() {
    return context.nowMs - electedMs > 2 * FIRST_HEARTBEATS_STEPS * context.stepMs() ? 0 : 1;
  }

  /**
   * Whether this node has led, and run, for long enough that silence is not of its own making. A
   * leader that takes over from one that heard nobody has no machines that it knows; where no
   * worker reaches any node the lead moves once, and not to and fro.
   */
  private boolean hasRunLongEnough() {
    return context.nowMs - Math.max(electedMs, resumedMs) > context.workerLeaseMs();
  }

  /**
   * Whether workers that waited for an answer elsewhere have had the time to come here. A leader
   * that took over from one that was cut from all of them once resigned before they did.
   */
  private boolean hasReconnectTimePassed() {
    return context.nowMs - electedMs > RECONNECT_STEPS * context.stepMs();
  }

  /** Whether workers that can reach this node have had the time to find it. */
  private boolean hasFirstHeartbeatsTimePassed() {
    return context.nowMs - electedMs > FIRST_HEARTBEATS_STEPS * context.stepMs();
  }
}
