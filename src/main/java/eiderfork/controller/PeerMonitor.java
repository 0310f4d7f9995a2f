package eiderfork.controller;

import eiderfork.config.Settings;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.PeerStatus;
import eiderfork.controller.message.Reply;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/** What the peers say of themselves, and what this node tells them. */
final class PeerMonitor implements LeaderElection.PeerReachability {
  /** A ping each step; this many may be missed before a peer counts as out of reach. */
  private static final double MAX_STATUS_AGE_STEPS = 3;

  private record ReceivedStatus(PeerStatus status, long receivedMs) {}

  private final ControllerContext context;
  private final LeaderElection election;
  private final CancellationTracker cancellations;
  private final ClusterVersion version;
  private final Map<String, ReceivedStatus> lastStatuses = new LinkedHashMap<>();
  private final Map<String, Boolean> pingPending = new LinkedHashMap<>();

  /**
   * When each peer first answered a ping of this node's {@link #acknowledgedTerm} with that term.
   */
  private final Map<String, Long> termAcknowledgedMs = new LinkedHashMap<>();

  private long acknowledgedTerm;
  private long nextPingMs;

  PeerMonitor(
      ControllerContext context,
      LeaderElection election,
      CancellationTracker cancellations,
      ClusterVersion version) {
    this.context = context;
    this.election = election;
    this.cancellations = cancellations;
    this.version = version;
    // Election and first answers come before the first ping, which loads Avro: on a sliver of a
    // core that takes as long as the election.
    nextPingMs = context.nowMs + context.stepMs() * 5 / 2;
  }

  /** Pings every peer that has answered the last ping, with what {@code statusFor} tells it. */
  void tick(Function<String, PeerStatus> statusFor) {
    if (context.nowMs < nextPingMs) {
      return;
    }
    nextPingMs = context.nowMs + context.stepMs();
    for (String node : context.settings.peerEndpoints().keySet()) {
      if (pingPending.getOrDefault(node, false)) {
        continue;
      }
      pingPending.put(node, true);
      long requestedMs = context.nowMs;
      PeerStatus own = statusFor.apply(node);
      context.call(
          call -> new Effect.PingPeer(call, node, own, context.stepMs()),
          reply -> {
            pingPending.put(node, false);
            if (reply instanceof Reply.PeerPong pong) {
              receiveStatus(pong.status());
              recordAcknowledgedTerm(node, pong.status());
              if (pong.status().node().equals(node)) {
                cancellations.receiveReply(node, pong.status().cancellations(), requestedMs);
                version.recordReply(node, pong.status().version());
              }
            }
          });
    }
  }

  void receiveStatus(PeerStatus status) {
    Settings settings = context.settings;
    if (!settings.peerEndpoints().containsKey(status.node())) {
      return;
    }
    lastStatuses.put(status.node(), new ReceivedStatus(status, context.nowMs));
    cancellations.heard(status.node(), status.cancellations());
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
      termAcknowledgedMs.putIfAbsent(node, context.nowMs);
    }
  }

  /**
   * Since when no older leader can answer a worker: every peer has said that it knows this term,
   * which ends any lead of an earlier one, and a process started later never had one. {@link
   * Long#MAX_VALUE} while a peer has not said so.
   */
  long earlierTermsEndedMs() {
    if (acknowledgedTerm != election.currentTerm()
        || termAcknowledgedMs.size() < context.settings.peerEndpoints().size()) {
      return Long.MAX_VALUE;
    }
    return termAcknowledgedMs.values().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  private boolean isFresh(ReceivedStatus received) {
    return received != null
        && context.nowMs - received.receivedMs <= context.stepMs() * MAX_STATUS_AGE_STEPS;
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

  /** Whether this peer has been heard lately. */
  boolean isReachable(String node) {
    return isFresh(lastStatuses.get(node));
  }

  /**
   * Whether another zone seems out of reach as a whole: none of its nodes has been heard lately,
   * and one of this zone has.
   */
  boolean isZoneUnreachable(String zone) {
    boolean own = false;
    for (Map.Entry<String, String> peer : context.settings.peerZones().entrySet()) {
      boolean reached = isReachable(peer.getKey());
      if (peer.getValue().equals(zone) && reached) {
        return false;
      }
      own |= peer.getValue().equals(context.settings.zone()) && reached;
    }
    return own && !zone.equals(context.settings.zone());
  }

  /** Whether any peer has been heard lately. */
  boolean isAnyReachable() {
    return lastStatuses.values().stream().anyMatch(this::isFresh);
  }

  /** Whether a peer has been heard lately that has the state service. */
  boolean isAnyServedByStore() {
    return lastStatuses.values().stream().anyMatch(this::isServedByStore);
  }

  private boolean isServedByStore(ReceivedStatus received) {
    return isFresh(received)
        && received.status.storeAgeMs() < context.stepMs() * MAX_STATUS_AGE_STEPS;
  }

  /** Whether a peer that has the state service hears more machines than {@code count}. */
  boolean hasPeerWithMoreMachines(int count) {
    return lastStatuses.values().stream()
        .anyMatch(
            received -> isServedByStore(received) && received.status.reportingMachines() > count);
  }
}
