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
 * Tracks which workers send heartbeats to this node. A leader that most workers cannot reach
 * resigns if a peer reaches more of them.
 */
public final class WorkerReachability {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerReachability.class);

  /** The time for which a new leader waits for the first heartbeat of any machine, in steps. */
  private static final int FIRST_HEARTBEAT_WAIT_STEPS = 4;

  /**
   * The time in which workers find a new leader, in steps: a response timeout and a heartbeat
   * interval.
   */
  private static final int RECONNECT_WAIT_STEPS = 6;

  /**
   * The minimum number of known machines for which silence of all counts as a network failure;
   * fewer may all be silent by chance.
   */
  private static final int MIN_MACHINES_FOR_SILENCE = 3;

  /**
   * The minimum number of machines for which the reachable share says anything about the network.
   */
  private static final int MIN_MACHINES_FOR_MAJORITY = 2;

  private final ControllerContext context;
  private final LeaderElection election;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final PeerMonitor peers;
  private final LeaseProxy leaseProxy;

  /** The time of each machine's last heartbeat to this node, whether this node led or not. */
  private final Map<String, Long> lastHeartbeatMs = new HashMap<>();

  private long lastCountMs;
  private long nextCheckMs;
  private long electedMs;
  private long resumedMs;

  /** Creates a monitor that has seen no worker. */
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

  /** Records the start of a term in which this node leads. */
  public void onElected() {
    electedMs = context.nowMs();
  }

  /** Records that a heartbeat of the machine arrived at this node. */
  void recordHeartbeat(String machineName) {
    lastHeartbeatMs.put(machineName, context.nowMs());
  }

  /**
   * Returns the number of machines that send heartbeats to this node and whose leases it does not
   * proxy, updated every half step.
   */
  public int reachableMachineCount() {
    if (context.nowMs() - lastCountMs >= context.stepMs() / 2) {
      lastCountMs = context.nowMs();
      lastHeartbeatMs
          .values()
          .removeIf(receivedMs -> context.nowMs() - receivedMs > liveness.heartbeatTimeoutMs());
    }
    // Machines whose leases this node proxies do not need this node to lead.
    return Math.max(0, lastHeartbeatMs.size() - leaseProxy.proxiedMachineCount());
  }

  /**
   * Resigns if workers cannot reach this leader and a peer may serve them instead. Checked every
   * half step.
   */
  public void resignIfUnreachable() {
    if (context.nowMs() < nextCheckMs) {
      return;
    }
    boolean wasSuspended = context.nowMs() - nextCheckMs > context.stepMs();
    nextCheckMs = context.nowMs() + context.stepMs() / 2;
    if (wasSuspended) {
      // Heartbeats that arrived during the pause have not been read yet.
      resumedMs = context.nowMs();
    }
    MachineCounts counts = countMachines();
    if (hasLostAllWorkers(counts)) {
      LOG.warn("workers-unreachable machines={}", counts.known);
      election.resign(context.workerLeaseMs());
    } else if (peerReachesMoreWorkers(counts)) {
      LOG.warn(
          "peer-reaches-more-workers reachable={} machines={}", counts.reachable, counts.known);
      election.resign(context.workerLeaseMs());
    } else if (hasNoWorkerConnected(counts)) {
      LOG.warn("no-worker-connected machinesWithTasks={}", counts.withTasks);
      election.resign(context.workerLeaseMs());
    }
  }

  /**
   * Counts of machines, as this leader knows them.
   *
   * @param known machines that have sent a heartbeat in this term and are not being scaled in
   * @param reachable known machines that have sent a heartbeat recently
   * @param withTasks machines with reservations
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
   * Returns whether all workers are silent at once, which means that this node is cut off rather
   * than the workers. The peers need not have received heartbeats yet: workers wait for this node's
   * response before they try the next node, and half of their lease would be over by then.
   */
  private boolean hasLostAllWorkers(MachineCounts counts) {
    return counts.known >= MIN_MACHINES_FOR_SILENCE
        && counts.reachable == 0
        && hasRunLongEnough()
        && peers.isAnyServedByStore();
  }

  private boolean peerReachesMoreWorkers(MachineCounts counts) {
    return counts.known >= MIN_MACHINES_FOR_MAJORITY
        && counts.reachable * 2 < counts.known
        && hasReconnectWaitPassed()
        && peers.hasPeerWithMoreMachines(counts.reachable);
  }

  /**
   * Returns whether no worker has sent a heartbeat in this term although machines have tasks and a
   * peer receives heartbeats. The leader was then cut off from the workers when it was elected.
   */
  private boolean hasNoWorkerConnected(MachineCounts counts) {
    return counts.known == 0
        && counts.withTasks >= MIN_MACHINES_FOR_MAJORITY
        && hasFirstHeartbeatWaitPassed()
        && peers.hasPeerWithMoreMachines(minMachinesAtPeer());
  }

  /**
   * Returns the number of machines that a peer must exceed to take over from a leader without
   * workers. After some time one machine at the peer is enough: if the previous leader cannot reach
   * the store, workers try all nodes in turn, so each is rarely seen at the node that could lead.
   */
  private int minMachinesAtPeer() {
    return context.nowMs() - electedMs > 2 * FIRST_HEARTBEAT_WAIT_STEPS * context.stepMs() ? 0 : 1;
  }

  /**
   * Returns whether this node has led, and run without a pause, for so long that missing heartbeats
   * are not its own fault. If no worker can reach any node, this prevents the leadership from
   * moving back and forth.
   */
  private boolean hasRunLongEnough() {
    return context.nowMs() - Math.max(electedMs, resumedMs) > context.workerLeaseMs();
  }

  /**
   * Returns whether workers that were waiting for another node's response have had enough time to
   * reconnect to this node.
   */
  private boolean hasReconnectWaitPassed() {
    return context.nowMs() - electedMs > RECONNECT_WAIT_STEPS * context.stepMs();
  }

  /** Returns whether workers that can reach this node have had enough time to find it. */
  private boolean hasFirstHeartbeatWaitPassed() {
    return context.nowMs() - electedMs > FIRST_HEARTBEAT_WAIT_STEPS * context.stepMs();
  }
}
