package eiderfork.controller.workers;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
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
 * Renews the leases of workers that cannot reach the leader, as long as this node can reach the
 * store. This keeps a network partition between two zones from ending the tasks in one of them.
 *
 * <p>A lease proxy renews a lease under a fencing token of the same term that makes the worker
 * reject starts which the leader sent before ({@link ProxyFencingTokens}), and sends no commands
 * except stops of cancelled jobs. Before it answers a worker, it commits a record that names the
 * machine to the store, under a store lease that outlasts every worker lease that the proxy renews
 * ({@link LeaseProxyRecords}). The leader treats a worker lease as expired only if a read sent
 * after the expiry shows no such record for the machine. So either the leader sees the record, or
 * the proxy first answers the worker after the expiry, and then renews the lease of an incarnation
 * that has lost all earlier tasks.
 */
public final class LeaseProxy {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseProxy.class);

  private final ControllerContext context;
  private final LeaderElection election;
  private final PeerMonitor peers;
  private final CancellationTracker cancellations;
  private final LeaseProxyRecords records;
  private final CancellationWatcher cancellationWatcher;
  private final ProxyFencingTokens tokens;

  /** The time at which each worker was last redirected from here to the leader. */
  private final Map<String, Long> redirectedMs = new HashMap<>();

  private boolean active;
  private long lastAnswerMs;

  /** Creates an inactive proxy. */
  public LeaseProxy(
      ControllerContext context,
      StoreClient store,
      LeaderElection election,
      PeerMonitor peers,
      CancellationTracker cancellations,
      ClusterVersion version) {
    this.context = context;
    this.election = election;
    this.peers = peers;
    this.cancellations = cancellations;
    records = new LeaseProxyRecords(context, store);
    cancellationWatcher = new CancellationWatcher(context, store, cancellations);
    tokens = new ProxyFencingTokens(context, version);
  }

  /**
   * Returns whether this node may answer a worker in place of the leader, now or soon, and starts
   * the preparations for that: it names the machine in the next record and activates the proxy. The
   * worker must have tasks and be in this node's zone. The leader must be in another zone and
   * unreachable from this node, and either its whole zone is unreachable or the worker was
   * redirected to it and has come back.
   */
  boolean prepareToAnswer(Heartbeat heartbeat) {
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

  /**
   * Returns whether a worker that was redirected to the leader has come back because it could not
   * reach the leader.
   */
  private boolean hasReturnedFromLeader(String machineName) {
    Long sentMs = redirectedMs.get(machineName);
    return sentMs != null
        && context.nowMs() - sentMs > context.stepMs()
        && context.nowMs() - sentMs < context.workerLeaseMs();
  }

  /**
   * Returns whether a worker for which {@link #prepareToAnswer} returned true may be answered now:
   * its record is committed and outlasts the renewed lease, the cancellations are current, and
   * there is a token for the answer.
   */
  boolean canAnswerNow(Heartbeat heartbeat) {
    long leaseEndMs =
        context.nowMs()
            + ControllerContext.withClockDrift(context.workerLeaseMs())
            + context.stepMs() / 2;
    return records.isRecorded(heartbeat.machine().name())
        && records.isValidUntil(leaseEndMs)
        && cancellations.mayRenewLeases()
        && tokens.hasTokenFor(heartbeat);
  }

  /**
   * Renews the worker's lease under a token that is not lower than the one that it reports, and
   * stops its tasks of cancelled jobs.
   */
  void answer(long ticket, Heartbeat heartbeat) {
    lastAnswerMs = context.nowMs();
    ImmutableList<WorkerCommand> stops =
        CommandBuilder.stopsOfCancelledJobs(heartbeat.tasks(), cancellations);
    context.emit(new Effect.RespondToWorker(ticket, tokens.next(heartbeat), stops));
  }

  /** Records that a worker was redirected to the leader. */
  void recordRedirect(Heartbeat heartbeat) {
    if (!heartbeat.tasks().isEmpty()) {
      redirectedMs.put(heartbeat.machine().name(), context.nowMs());
    }
  }

  /** Returns the number of machines for which this node may answer in place of the leader. */
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
    cancellationWatcher.start();
  }

  /** Stops answering workers. The records remain in the store until their lease expires. */
  public void stop() {
    active = false;
    cancellationWatcher.stop();
    records.reset();
    tokens.reset();
  }

  /** Keeps the records and the cancellations current, and stops the proxy if no worker needs it. */
  public void tick() {
    cancellationWatcher.retryFailed();
    redirectedMs.values().removeIf(sentMs -> context.nowMs() - sentMs > context.workerLeaseMs());
    if (!active) {
      return;
    }
    if (haveRenewedLeasesExpired()) {
      LOG.info("lease-proxy-stopped");
      records.release();
      stop();
      cancellations.reset();
      return;
    }
    records.tick();
    tokens.tick();
  }

  /** Returns whether every worker lease that this node renewed has expired. */
  private boolean haveRenewedLeasesExpired() {
    long leaseMs = ControllerContext.withClockDrift(context.workerLeaseMs());
    return context.nowMs() - lastAnswerMs > leaseMs + context.stepMs();
  }
}
