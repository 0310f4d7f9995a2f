package eiderfork.controller.workers;

import eiderfork.controller.cluster.PeerMonitor;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which workers send heartbeats to this node. A leader that most of them can't reach resigns in
 * favour of a peer that more of them reach.
 */
public final class WorkerReachability {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerReachability.class);

  /** How long a new leader waits for the first heartbeat of any machine, in steps. */
  private static final int FIRST_HEARTBEATS_STEPS = 4;

  /** How long workers may take to find a new leader: a response time-out and a heartbeat. */
  private static final int RECONNECT_STEPS = 6;

  /** Of fewer machines all may be silent by chance. */
  private static final int MIN_MACHINES_FOR_SILENCE = 3;

  /** Of fewer machines the reachable ones say nothing of the network. */
  private static final int MIN_MACHINES_FOR_MAJORITY = 2;

  private final ControllerContext context;
  private final LeaderElection election;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final PeerMonitor peers;
  private final LeaseProxy leaseProxy;

  /** When each machine last sent a heartbeat here, whether this node leads or not. */
  private final Map<String, Long> lastHeartbeatMs = new HashMap<>();

  private long lastCountMs;
  private long nextCheckMs;
  private long electedMs;
  private long resumedMs;

  /** Makes a monitor that has seen no worker. */
  public WorkerReachability(
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
  public void onElected() {
    electedMs = context.nowMs();
  }

  /** A heartbeat of the machine arrived here. */
  void recordHeartbeat(String machineName) {
    lastHeartbeatMs.put(machineName, context.nowMs());
  }

  /** How many machines send heartbeats here, counted once in half a step. */
  public int reachableMachineCount() {
    if (context.nowMs() - lastCountMs >= context.stepMs() / 2) {
      lastCountMs = context.nowMs();
      lastHeartbeatMs.values().removeIf(at -> context.nowMs() - at > liveness.heartbeatTimeoutMs());
    }
    // Machines whose leases this node proxies don't need it to lead.
    return Math.max(0, lastHeartbeatMs.size() - leaseProxy.proxiedMachineCount());
  }

  /** Resigns where workers can't reach this leader but reach a peer. */
  public void resignIfUnreachable() {
    if (context.nowMs() < nextCheckMs) {
      return;
    }
    boolean wasSuspended = context.nowMs() - nextCheckMs > context.stepMs();
    nextCheckMs = context.nowMs() + context.stepMs() / 2;
    if (wasSuspended) {
      // Heartbeats that arrived meanwhile are still unread.
      resumedMs = context.nowMs();
    }
    MachineCounts counts = countMachines();
    if (isCutOffFromAll(counts)) {
      LOG.warn("workers-unreachable machines={}", counts.known);
      election.resign(context.workerLeaseMs());
    } else if (isBehindPeer(counts)) {
      LOG.warn(
          "peer-reaches-more-workers reachable={} machines={}", counts.reachable, counts.known);
      election.resign(context.workerLeaseMs());
    } else if (isUnknownToWorkers(counts)) {
      LOG.warn("no-worker-connected machinesWithTasks={}", counts.withTasks);
      election.resign(context.workerLeaseMs());
    }
  }

  /**
   * Machines by what this leader knows of them.
   *
   * @param known have sent a heartbeat in this term and are not being returned
   * @param reachable have sent one lately
   * @param withTasks hold reservations
   */
  private record MachineCounts(int known, int reachable, int withTasks) {}

  private MachineCounts countMachines() {
    int known = 0;
    int reachable = 0;
    int withTasks = 0;
    for (MachineState machine : fleet.machines()) {
      if (machine.lastHeartbeat() != null && !machine.lifecycle().isScalingIn()) {
        known++;
        reachable += liveness.hasRecentHeartbeat(machine) ? 1 : 0;
      }
      withTasks += machine.reservations().isEmpty() ? 0 : 1;
    }
    return new MachineCounts(known, reachable, withTasks);
  }

  /**
   * All workers are silent at once, so that this node is cut off and not they. Peers need not have
   * heartbeats yet: workers wait here for an answer before they try the next node, and half of
   * their lease would be over by then.
   */
  private boolean isCutOffFromAll(MachineCounts counts) {
    return counts.known >= MIN_MACHINES_FOR_SILENCE
        && counts.reachable == 0
        && hasRunLongEnough()
        && peers.isAnyServedByStore();
  }

  private boolean isBehindPeer(MachineCounts counts) {
    return counts.known >= MIN_MACHINES_FOR_MAJORITY
        && counts.reachable * 2 < counts.known
        && hasReconnectTimePassed()
        && peers.hasPeerWithMoreMachines(counts.reachable);
  }

  /** The leader was cut off from the workers when it was elected, and knows none of them. */
  private boolean isUnknownToWorkers(MachineCounts counts) {
    return counts.known == 0
        && counts.withTasks >= MIN_MACHINES_FOR_MAJORITY
        && hasFirstHeartbeatsTimePassed()
        && peers.hasPeerWithMoreMachines(minMachinesAtPeer());
  }

  /**
   * More machines than this have to reach a peer. After a while one is enough: where the previous
   * leader can't reach the store, workers try all nodes in turn, and each is seldom seen at the one
   * that could lead.
   */
  private int minMachinesAtPeer() {
    return context.nowMs() - electedMs > 2 * FIRST_HEARTBEATS_STEPS * context.stepMs() ? 0 : 1;
  }

  /**
   * Whether this node has led, and run without a pause, for long enough that missing heartbeats are
   * not of its own making. Where no worker reaches any node, this keeps the lead from moving to and
   * fro.
   */
  private boolean hasRunLongEnough() {
    return context.nowMs() - Math.max(electedMs, resumedMs) > context.workerLeaseMs();
  }

  /** Whether workers that waited for a response elsewhere have had the time to reconnect here. */
  private boolean hasReconnectTimePassed() {
    return context.nowMs() - electedMs > RECONNECT_STEPS * context.stepMs();
  }

  /** Whether workers that can reach this node have had the time to find it. */
  private boolean hasFirstHeartbeatsTimePassed() {
    return context.nowMs() - electedMs > FIRST_HEARTBEATS_STEPS * context.stepMs();
  }
}
