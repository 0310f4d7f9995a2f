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
final class PeerMonitor {
  /** A ping each step; this many may be missed before a peer counts as out of reach. */
  private static final double REACH_PINGS = 3;

  private record Seen(PeerStatus view, long atMs) {}

  private final ControllerContext context;
  private final LeaderElection term;
  private final CancellationTracker cancellations;
  private final ClusterVersion version;
  private final Map<String, Seen> seen = new LinkedHashMap<>();
  private final Map<String, Boolean> asking = new LinkedHashMap<>();

  /** When each peer first answered a ping of this node's {@link #yieldedTo} with that term. */
  private final Map<String, Long> yieldedMs = new LinkedHashMap<>();

  private long yieldedTo;
  private long nextMs;

  PeerMonitor(
      ControllerContext context,
      LeaderElection term,
      CancellationTracker cancellations,
      ClusterVersion version) {
    this.context = context;
    this.term = term;
    this.cancellations = cancellations;
    this.version = version;
    // Election and first answers come before the first ping, which loads Avro: on a sliver of a
    // core that takes as long as the election.
    nextMs = context.nowMs + context.stepMs() * 5 / 2;
  }

  /** Pings every peer that has answered the last ping, with what {@code view} tells it. */
  void tick(Function<String, PeerStatus> view) {
    if (context.nowMs < nextMs) {
      return;
    }
    nextMs = context.nowMs + context.stepMs();
    for (String node : context.settings.peers().keySet()) {
      if (asking.getOrDefault(node, false)) {
        continue;
      }
      asking.put(node, true);
      long askedMs = context.nowMs;
      PeerStatus own = view.apply(node);
      context.ask(
          call -> new Effect.AskPeerPing(call, node, own, context.stepMs()),
          reply -> {
            asking.put(node, false);
            if (reply instanceof Reply.PeerPong says) {
              heard(says.view());
              yielded(node, says.view());
              if (says.view().node().equals(node)) {
                cancellations.answered(node, says.view().news(), askedMs);
                version.answered(node, says.view().version());
              }
            }
          });
    }
  }

  void heard(PeerStatus view) {
    Settings settings = context.settings;
    if (!settings.peers().containsKey(view.node())) {
      return;
    }
    seen.put(view.node(), new Seen(view, context.nowMs));
    cancellations.heard(view.node(), view.news());
    version.heard(view.node(), view.version());
    if (view.leading()) {
      term.heardLeader(view.node(), view.term());
    }
  }

  private void yielded(String node, PeerStatus view) {
    if (!term.leading()) {
      return;
    }
    if (yieldedTo != term.number()) {
      yieldedTo = term.number();
      yieldedMs.clear();
    }
    if (view.node().equals(node) && view.term() >= yieldedTo) {
      yieldedMs.putIfAbsent(node, context.nowMs);
    }
  }

  /**
   * Since when no older leader can answer a worker: every peer has said that it knows this term,
   * which ends any lead of an earlier one, and a process started later never had one. {@link
   * Long#MAX_VALUE} while a peer has not said so.
   */
  long olderTermsOverMs() {
    if (yieldedTo != term.number() || yieldedMs.size() < context.settings.peers().size()) {
      return Long.MAX_VALUE;
    }
    return yieldedMs.values().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  private boolean fresh(Seen it) {
    return it != null && context.nowMs - it.atMs <= context.stepMs() * REACH_PINGS;
  }

  /** Whether this peer was heard and is not any more. */
  boolean lost(String node) {
    Seen it = seen.get(node);
    return it != null && !fresh(it);
  }

  /** Whether any other peer than this one has been heard lately. */
  boolean othersReached(String but) {
    return seen.keySet().stream().anyMatch(node -> !node.equals(but) && reached(node));
  }

  /** Whether this peer has been heard lately. */
  boolean reached(String node) {
    return fresh(seen.get(node));
  }

  /**
   * Whether another zone seems out of reach as a whole: none of its nodes has been heard lately,
   * and one of this zone has.
   */
  boolean apart(String zone) {
    boolean own = false;
    for (Map.Entry<String, String> peer : context.settings.peerZones().entrySet()) {
      boolean reached = reached(peer.getKey());
      if (peer.getValue().equals(zone) && reached) {
        return false;
      }
      own |= peer.getValue().equals(context.settings.zone()) && reached;
    }
    return own && !zone.equals(context.settings.zone());
  }

  /** Whether any peer has been heard lately. */
  boolean anyReached() {
    return seen.values().stream().anyMatch(this::fresh);
  }

  /** Whether a peer has been heard lately that has the state service. */
  boolean anyServed() {
    return seen.values().stream().anyMatch(this::isServed);
  }

  private boolean isServed(Seen it) {
    return fresh(it) && it.view.stateAgeMs() < context.stepMs() * REACH_PINGS;
  }

  /** Whether a peer that has the state service hears more machines than {@code count}. */
  boolean betterHeard(int count) {
    return seen.values().stream().anyMatch(it -> isServed(it) && it.view.machinesHeard() > count);
  }
}
