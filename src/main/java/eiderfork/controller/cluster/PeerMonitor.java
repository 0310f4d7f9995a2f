package eiderfork.controller.cluster;

import eiderfork.config.Settings;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.PeerStatus;
import eiderfork.controller.message.Reply;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/** Exchanges status with the peers through pings, and tracks which of them are reachable. */
public final class PeerMonitor implements LeaderElection.PeerReachability {
  /**
   * The maximum age of a peer's last status, in steps, for the peer to count as reachable. Peers
   * are pinged once per step.
   */
  private static final double MAX_STATUS_AGE_STEPS = 3;

  private record ReceivedStatus(PeerStatus status, long receivedMs) {}

  private final ControllerContext context;
  private final LeaderElection election;
  private final CancellationTracker cancellations;
  private final ClusterVersion version;
  private final Map<String, ReceivedStatus> lastStatuses = new LinkedHashMap<>();
  private final Map<String, Boolean> pingPending = new LinkedHashMap<>();

  /**
   * The time at which each peer first replied to a ping with {@link #acknowledgedTerm} or a later
   * term.
   */
  private final Map<String, Long> termAcknowledgedMs = new LinkedHashMap<>();

  /** The term of this node's leadership to which the acknowledgements belong. */
  private long acknowledgedTerm;

  private long nextPingMs;

  /** Creates a monitor that has no status of any peer yet. */
  public PeerMonitor(
      ControllerContext context,
      LeaderElection election,
      CancellationTracker cancellations,
      ClusterVersion version) {
    this.context = context;
    this.election = election;
    this.cancellations = cancellations;
    this.version = version;
    // The first ping loads Avro, which is slow on a small core, so it is sent after the election
    // and the first replies.
    nextPingMs = context.nowMs() + context.stepMs() * 5 / 2;
  }

  /** Sends each peer whose last ping is completed a new ping with the status for that peer. */
  public void tick(Function<String, PeerStatus> statusFor) {
    if (context.nowMs() < nextPingMs) {
      return;
    }
    nextPingMs = context.nowMs() + context.stepMs();
    for (String node : context.settings.peerEndpoints().keySet()) {
      if (!pingPending.getOrDefault(node, false)) {
        ping(node, statusFor.apply(node));
      }
    }
  }

  private void ping(String node, PeerStatus ownStatus) {
    pingPending.put(node, true);
    long requestedMs = context.nowMs();
    context.call(
        callId -> new Effect.PingPeer(callId, node, ownStatus, context.stepMs()),
        reply -> {
          pingPending.put(node, false);
          if (reply instanceof Reply.PeerPong pong) {
            receivePong(node, pong.status(), requestedMs);
          }
        });
  }

  private void receivePong(String node, PeerStatus status, long requestedMs) {
    receiveStatus(status);
    recordAcknowledgedTerm(node, status);
    if (status.node().equals(node)) {
      cancellations.receiveReply(node, status.cancellations(), requestedMs);
      version.recordReply(node, status.version());
    }
  }

  /** Handles the status from a peer, unsolicited or in a reply. */
  public void receiveStatus(PeerStatus status) {
    Settings settings = context.settings;
    if (!settings.peerEndpoints().containsKey(status.node())) {
      return;
    }
    lastStatuses.put(status.node(), new ReceivedStatus(status, context.nowMs()));
    cancellations.receive(status.node(), status.cancellations());
    version.recordUnsolicited(status.node(), status.version());
    if (status.leading()) {
      election.observeLeader(status.node(), status.term());
    }
  }

  private void recordAcknowledgedTerm(String node, PeerStatus status) {
    if (!election.isLeading()) {
      return;
    }
    if (acknowledgedTerm != election.currentTerm()) {
      acknowledgedTerm = election.currentTerm();
      termAcknowledgedMs.clear();
    }
    if (status.node().equals(node) && status.term() >= acknowledgedTerm) {
      termAcknowledgedMs.putIfAbsent(node, context.nowMs());
    }
  }

  /**
   * Returns the time since which no leader of an earlier term can reply to a worker, or {@link
   * Long#MAX_VALUE} while some peer has not acknowledged this term. A peer that acknowledges the
   * term steps down from any earlier one, and a process that starts later has never led in one.
   */
  public long earlierTermsEndedMs() {
    if (acknowledgedTerm != election.currentTerm()
        || termAcknowledgedMs.size() < context.settings.peerEndpoints().size()) {
      return Long.MAX_VALUE;
    }
    return termAcknowledgedMs.values().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  private boolean isFresh(ReceivedStatus received) {
    return received != null
        && context.nowMs() - received.receivedMs <= context.stepMs() * MAX_STATUS_AGE_STEPS;
  }

  @Override
  public boolean isLost(String node) {
    ReceivedStatus received = lastStatuses.get(node);
    return received != null && !isFresh(received);
  }

  @Override
  public boolean isAnyOtherReachable(String excludedNode) {
    return lastStatuses.keySet().stream()
        .anyMatch(node -> !node.equals(excludedNode) && isReachable(node));
  }

  /** Returns whether the peer is reachable. */
  public boolean isReachable(String node) {
    return isFresh(lastStatuses.get(node));
  }

  /**
   * Returns whether another zone seems unreachable as a whole: none of its nodes are reachable,
   * while a peer in this node's zone is.
   */
  public boolean isZoneUnreachable(String zone) {
    boolean ownZoneReachable = false;
    for (Map.Entry<String, String> peer : context.settings.peerZones().entrySet()) {
      boolean reachable = isReachable(peer.getKey());
      if (peer.getValue().equals(zone) && reachable) {
        return false;
      }
      ownZoneReachable |= peer.getValue().equals(context.settings.zone()) && reachable;
    }
    return ownZoneReachable && !zone.equals(context.settings.zone());
  }

  /** Returns whether any peer is reachable. */
  boolean isAnyReachable() {
    return lastStatuses.values().stream().anyMatch(this::isFresh);
  }

  /** Returns whether any reachable peer is served by the store. */
  public boolean isAnyServedByStore() {
    return lastStatuses.values().stream().anyMatch(this::isServedByStore);
  }

  private boolean isServedByStore(ReceivedStatus received) {
    return isFresh(received)
        && received.status.storeAgeMs() < context.stepMs() * MAX_STATUS_AGE_STEPS;
  }

  /**
   * Returns whether a peer served by the store gets heartbeats from more than {@code count}
   * machines.
   */
  public boolean hasPeerWithMoreMachines(int count) {
    return lastStatuses.values().stream()
        .anyMatch(
            received -> isServedByStore(received) && received.status.reportingMachines() > count);
  }
}
