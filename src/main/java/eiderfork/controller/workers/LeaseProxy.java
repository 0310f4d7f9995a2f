package eiderfork.controller.workers;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.PeerMonitor;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Heartbeat;
import eiderfork.model.WorkerCommand;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews leases of workers that can't reach the leader, while this node can reach the store, so
 * that a network partition between two zones does not end the tasks of one of them.
 *
 * <p>A lease proxy renews leases under the fencing token that a worker shows, and commands nothing
 * but the stops of cancelled jobs. Before it answers a worker, a record that names the machine
 * stands in the store, under a lease that outlasts every worker lease that the proxy renews ({@link
 * LeaseProxyRecords}). The leader counts no worker lease as expired before it has read, after the
 * expiry, that no such record names the machine. So either it sees the record, or the proxy's first
 * answer comes after the expiry and renews an incarnation that has lost all earlier tasks.
 */
public final class LeaseProxy {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseProxy.class);

  private final ControllerContext context;
  private final LeaderElection election;
  private final PeerMonitor peers;
  private final CancellationTracker cancellations;
  private final LeaseProxyRecords records;
  private final CancellationFollower cancellationFollower;

  /** When each worker was last redirected from here to the leader. */
  private final Map<String, Long> redirectedMs = new HashMap<>();

  private boolean active;
  private long lastAnswerMs;

  /** Makes a proxy that renews no lease yet. */
  public LeaseProxy(
      ControllerContext context,
      StoreClient store,
      LeaderElection election,
      PeerMonitor peers,
      CancellationTracker cancellations) {
    this.context = context;
    this.election = election;
    this.peers = peers;
    this.cancellations = cancellations;
    records = new LeaseProxyRecords(context, store);
    cancellationFollower = new CancellationFollower(context, store, cancellations);
  }

  /**
   * Whether this node may answer this worker in the leader's place, now or soon; if so, it prepares
   * for that. The worker must have tasks and be in this node's zone, and the leader must be
   * unreachable from here: with all of its zone, or also for the worker that was redirected to it.
   */
  boolean canAnswer(Heartbeat heartbeat) {
    if (!isCandidate(heartbeat)) {
      return false;
    }
    String machineName = heartbeat.machine().name();
    String leader = election.leader();
    if (leader == null) {
      return records.isRecorded(machineName);
    }
    if (!isUnreachableInOtherZone(leader)) {
      return false;
    }
    if (records.isRecorded(machineName)) {
      return true;
    }
    if (!peers.isZoneUnreachable(zoneOf(leader)) && !hasReturnedFromLeader(machineName)) {
      return false;
    }
    records.add(machineName);
    start();
    return true;
  }

  private boolean isCandidate(Heartbeat heartbeat) {
    return !election.isLeading()
        && !heartbeat.tasks().isEmpty()
        && heartbeat.machine().zone().equals(context.settings.zone());
  }

  private boolean isUnreachableInOtherZone(String leader) {
    String zone = zoneOf(leader);
    return context.settings.peerEndpoints().containsKey(leader)
        && !peers.isReachable(leader)
        && !zone.isEmpty()
        && !zone.equals(context.settings.zone());
  }

  private String zoneOf(String node) {
    return context.settings.peerZones().getOrDefault(node, "");
  }

  /** Whether a worker that was redirected to the leader came back, as it could not reach it. */
  private boolean hasReturnedFromLeader(String machineName) {
    Long sentMs = redirectedMs.get(machineName);
    return sentMs != null
        && context.nowMs() - sentMs > context.stepMs()
        && context.nowMs() - sentMs < context.workerLeaseMs();
  }

  /** Whether a worker for which {@link #canAnswer} holds may be answered now. */
  boolean canAnswerNow(Heartbeat heartbeat) {
    long leaseEndMs =
        context.nowMs()
            + ControllerContext.withClockDrift(context.workerLeaseMs())
            + context.stepMs() / 2;
    return records.isRecorded(heartbeat.machine().name())
        && records.isValidUntil(leaseEndMs)
        && cancellations.mayRenewLeases();
  }

  /** Renews the worker's lease under the token that it shows, and stops cancelled jobs. */
  void answer(long ticket, Heartbeat heartbeat) {
    lastAnswerMs = context.nowMs();
    ImmutableList<WorkerCommand> stops =
        CommandBuilder.stopsOfCancelledJobs(heartbeat.tasks(), cancellations);
    context.emit(new Effect.RespondToWorker(ticket, heartbeat.fencingToken(), stops));
  }

  /** A worker was redirected to the leader. */
  void recordRedirect(Heartbeat heartbeat) {
    if (!heartbeat.tasks().isEmpty()) {
      redirectedMs.put(heartbeat.machine().name(), context.nowMs());
    }
  }

  /** How many machines this node answers in the leader's place. */
  int proxiedMachineCount() {
    return records.recordedMachineCount();
  }

  private void start() {
    if (active) {
      return;
    }
    LOG.info("lease-proxy-started leader={}", election.leader());
    active = true;
    lastAnswerMs = context.nowMs();
    cancellationFollower.start();
  }

  /** Answers no worker any more; the records stand until their lease expires. */
  public void stop() {
    active = false;
    cancellationFollower.stop();
    records.reset();
  }

  /** Keeps the records and the cancellations current, and stops where no worker needs a proxy. */
  public void tick() {
    cancellationFollower.retryFailed();
    redirectedMs.values().removeIf(sentMs -> context.nowMs() - sentMs > context.workerLeaseMs());
    if (!active) {
      return;
    }
    if (isUnused()) {
      LOG.info("lease-proxy-stopped");
      records.release();
      stop();
      cancellations.reset();
      return;
    }
    records.tick();
  }

  /** Whether every lease that this node renewed has expired. */
  private boolean isUnused() {
    long leaseMs = ControllerContext.withClockDrift(context.workerLeaseMs());
    return context.nowMs() - lastAnswerMs > leaseMs + context.stepMs();
  }
}
