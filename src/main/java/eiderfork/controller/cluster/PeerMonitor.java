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

/** Exchanges status with the peers by pings, and knows which of them can be reached. */
public final class PeerMonitor implements LeaderElection.PeerReachability {
  /** A peer is pinged each step, and counts as out of reach after this many without a status. */
  private static final double MAX_STATUS_AGE_STEPS = 3;

  private record ReceivedStatus(PeerStatus status, long receivedMs) {}

  private final ControllerContext context;
  private final LeaderElection election;
  private final CancellationTracker cancellations;
  private final ClusterVersion version;
  private final Map<String, ReceivedStatus> lastStatuses = new LinkedHashMap<>();
  private final Map<String, Boolean> pingPending = new LinkedHashMap<>();

  /**
   * When each peer first replied to a ping of this node's {@link #acknowledgedTerm} with that term.
   */
  private final Map<String, Long> termAcknowledgedMs = new LinkedHashMap<>();

  private long acknowledgedTerm;
  private long nextPingMs;

  /** Makes a monitor without the status of any peer. */
  public PeerMonitor(
      ControllerContext context,
      LeaderElection election,
      CancellationTracker cancellations,
      ClusterVersion version) {
    this.context = context;
    this.election = election;
    this.cancellations = cancellations;
    this.version = version;
    // The first ping loads Avro, which is slow on a small core: election and first replies go
    // first.
    nextPingMs = context.nowMs() + context.stepMs() * 5 / 2;
  }

  /** Pings every peer that has replied to the last ping, with the status that is for it. */
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

  /** Takes the status that a peer sent, on its own or in reply. */
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
   * Since when no earlier leader can reply to a worker: every peer has acknowledged this term,
   * which ends any leadership of an earlier one, and a process started later never had one. {@link
   * Long#MAX_VALUE} while a peer has not acknowledged it.
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

  /** Whether this peer can be reached. */
  public boolean isReachable(String node) {
    return isFresh(lastStatuses.get(node));
  }

  /**
   * Whether another zone seems out of reach as a whole: none of its nodes can be reached, and one
   * of this zone can.
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

  /** Whether any peer can be reached. */
  boolean isAnyReachable() {
    return lastStatuses.values().stream().anyMatch(this::isFresh);
  }

  /** Whether a peer can be reached that is served by the store. */
  public boolean isAnyServedByStore() {
    return lastStatuses.values().stream().anyMatch(this::isServedByStore);
  }

  private boolean isServedByStore(ReceivedStatus received) {
    return isFresh(received)
        && received.status.storeAgeMs() < context.stepMs() * MAX_STATUS_AGE_STEPS;
  }

  /** Whether a peer that is served by the store gets heartbeats of more machines than this. */
  public boolean hasPeerWithMoreMachines(int count) {
    return lastStatuses.values().stream()
        .anyMatch(
            received -> isServedByStore(received) && received.status.reportingMachines() > count);
  }
}
