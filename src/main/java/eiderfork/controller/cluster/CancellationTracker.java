package eiderfork.controller.cluster;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.CancellationGossip;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Which jobs are known to be cancelled, and up to which moment none can be unknown.
 *
 * <p>Any node may confirm a cancellation that it wrote to the store itself, and the leader may be
 * cut off from the store just then. So each node remembers what it confirmed and sends it to its
 * peers with each ping until they acknowledge it. A leader lets workers keep their tasks only as
 * far as it is proven that it knows every cancellation confirmed before: from the store, or from
 * all peers.
 */
public final class CancellationTracker {
  private static final long NEVER = Long.MIN_VALUE / 4;

  /** The most jobs that one message names; with the longest ids it stays far below 64 KiB. */
  private static final int MAX_JOBS_PER_MESSAGE = 256;

  /** The most confirmations that are remembered for peers, and jobs known besides. */
  private static final int MAX_REMEMBERED = 16_384;

  /**
   * Past this many cancellation times nothing of a cancelled job can run that a peer could stop.
   */
  private static final int RETENTION_TIMEOUTS = 2;

  private record Confirmation(long number, String uid, long confirmedMs) {}

  /** What was received from a peer, and what it has acknowledged. */
  private static final class PeerState {
    private long processId;
    private long receivedNumber;
    private long acknowledgedNumber;

    /** When a confirmation that it had not acknowledged was last dropped before its time. */
    private long evictedMs = NEVER;

    /** Up to when all that the peer confirmed is known here. */
    private long completeUpToMs = NEVER;

    private void restart(long newProcessId, long lastEvictedMs) {
      processId = newProcessId;
      receivedNumber = 0;
      acknowledgedNumber = 0;
      // A process that knows nothing yet can't be sent what was dropped already.
      evictedMs = lastEvictedMs;
    }
  }

  private final ControllerContext context;
  private final Consumer<String> onLearned;
  private final long processId;
  private final long startedMs;

  private final Deque<Confirmation> confirmed = new ArrayDeque<>();
  private final Set<String> confirmedUids = new HashSet<>();
  private long lastNumber;

  /** When a confirmation was last dropped before its time, whoever knew it. */
  private long lastEvictedMs = NEVER;

  /** What was confirmed here or by peers; a hint that a restart or many others may lose. */
  private final Cache<String, Boolean> confirmedAnywhere =
      Caffeine.newBuilder().maximumSize(MAX_REMEMBERED).executor(Runnable::run).build();

  /** What the store held, as far as it was read in this term. */
  private final Set<String> storedUids = new HashSet<>();

  private long caughtUpMs = NEVER;
  private final Map<String, PeerState> peers = new HashMap<>();

  /**
   * @param onLearned takes each job that turns out to be cancelled, once or more often
   */
  public CancellationTracker(ControllerContext context, Consumer<String> onLearned) {
    this.context = context;
    this.onLearned = onLearned;
    processId = context.random.nextLong() | 1;
    startedMs = context.nowMs();
    context.settings.peerEndpoints().keySet().forEach(node -> peers.put(node, new PeerState()));
  }

  /** A term begins or ends: what memory held of it is gone, and proofs with it. */
  public void reset() {
    storedUids.clear();
    caughtUpMs = NEVER;
    peers.values().forEach(peer -> peer.completeUpToMs = NEVER);
  }

  /** Whether the job is known to be cancelled; that never changes. */
  public boolean contains(String uid) {
    return storedUids.contains(uid) || confirmedAnywhere.getIfPresent(uid) != null;
  }

  /** Whether some node has confirmed to a user that the job is cancelled. */
  public boolean wasConfirmed(String uid) {
    return confirmedAnywhere.getIfPresent(uid) != null;
  }

  /** The job is archived, so that nothing of it runs; its cancellation is not read any more. */
  public void recordArchived(String uid) {
    storedUids.remove(uid);
  }

  /** This node is about to confirm to a user that the job is cancelled. */
  public void confirm(String uid) {
    if (confirmedUids.add(uid)) {
      confirmed.add(new Confirmation(++lastNumber, uid, context.nowMs()));
      if (confirmed.size() > MAX_REMEMBERED) {
        evictOldest();
      }
    }
    learn(uid);
  }

  private void evictOldest() {
    Confirmation oldest = confirmed.remove();
    confirmedUids.remove(oldest.uid);
    lastEvictedMs = context.nowMs();
    for (PeerState peer : peers.values()) {
      if (peer.acknowledgedNumber < oldest.number) {
        peer.evictedMs = context.nowMs();
      }
    }
  }

  private void learn(String uid) {
    if (confirmedAnywhere.getIfPresent(uid) == null) {
      confirmedAnywhere.put(uid, true);
      onLearned.accept(uid);
    }
  }

  /** The store holds this cancellation. */
  public void recordStored(String uid) {
    if (storedUids.add(uid)) {
      onLearned.accept(uid);
    }
  }

  /** Everything that the store held at this moment is known. */
  public void recordCaughtUp(long requestedMs) {
    caughtUpMs = Math.max(caughtUpMs, requestedMs);
  }

  private long retentionMs() {
    return RETENTION_TIMEOUTS * context.cancellationTimeoutMs();
  }

  /** The message that this node sends a peer now. */
  public CancellationGossip gossipFor(String node) {
    dropExpired();
    PeerState peer = peers.getOrDefault(node, new PeerState());
    Deque<Confirmation> unacknowledged = unacknowledgedBy(peer);
    ImmutableList<String> uids =
        unacknowledged.stream()
            .limit(MAX_JOBS_PER_MESSAGE)
            .map(Confirmation::uid)
            .collect(ImmutableList.toImmutableList());
    boolean evicted = context.nowMs() - peer.evictedMs <= retentionMs();
    // What was dropped because its time is over matters to nobody.
    long afterNumber = unacknowledged.isEmpty() ? lastNumber : unacknowledged.peek().number - 1;
    return new CancellationGossip(
        processId,
        context.nowMs() - startedMs,
        afterNumber,
        uids,
        !evicted && uids.size() == unacknowledged.size(),
        peer.processId,
        peer.receivedNumber);
  }

  private void dropExpired() {
    while (!confirmed.isEmpty() && context.nowMs() - confirmed.peek().confirmedMs > retentionMs()) {
      confirmedUids.remove(confirmed.remove().uid);
    }
  }

  /** The confirmations that a peer has not acknowledged, the oldest first. */
  private Deque<Confirmation> unacknowledgedBy(PeerState peer) {
    Deque<Confirmation> unacknowledged = new ArrayDeque<>();
    Iterator<Confirmation> newestFirst = confirmed.descendingIterator();
    while (newestFirst.hasNext()) {
      Confirmation confirmation = newestFirst.next();
      if (confirmation.number <= peer.acknowledgedNumber) {
        break;
      }
      unacknowledged.addFirst(confirmation);
    }
    return unacknowledged;
  }

  /** Takes what a peer sent, on its own or in reply. */
  void receive(String node, CancellationGossip gossip) {
    PeerState peer = peers.get(node);
    if (peer == null || gossip.processId() == 0) {
      return;
    }
    if (gossip.processId() != peer.processId) {
      peer.restart(gossip.processId(), lastEvictedMs);
    }
    if (gossip.acknowledgedProcessId() == processId) {
      peer.acknowledgedNumber = Math.max(peer.acknowledgedNumber, gossip.acknowledgedNumber());
    }
    gossip.uids().forEach(this::learn);
    peer.receivedNumber = Math.max(peer.receivedNumber, gossip.lastNumber());
  }

  /**
   * Takes a peer's reply to a request that was sent at {@code requestedMs}. It proves nothing of
   * later moments, and counts only where the process that replies has run since before this node
   * last read the store: an earlier process may have confirmed what nobody remembers.
   */
  void receiveReply(String node, CancellationGossip gossip, long requestedMs) {
    receive(node, gossip);
    PeerState peer = peers.get(node);
    long peerStartedMs =
        context.nowMs() - (long) (gossip.uptimeMs() * (1 - ControllerContext.MAX_CLOCK_DRIFT));
    if (peer != null && gossip.complete() && peerStartedMs < caughtUpMs) {
      peer.completeUpToMs = Math.max(peer.completeUpToMs, requestedMs);
    }
  }

  /** Every cancellation that any node confirmed before this moment is known here. */
  long completeUpToMs() {
    if (caughtUpMs == NEVER) {
      return NEVER;
    }
    long allPeersMs = context.nowMs();
    for (PeerState peer : peers.values()) {
      allPeersMs = Math.min(allPeersMs, peer.completeUpToMs);
    }
    return Math.max(caughtUpMs, allPeersMs);
  }

  /**
   * Whether a worker's lease may be renewed now. It runs from when the heartbeat was sent, and has
   * to end within the cancellation timeout of whatever may have been cancelled without being known.
   */
  public boolean mayRenewLeases() {
    long sinceMs = ControllerContext.withClockDrift(context.nowMs() - completeUpToMs());
    return sinceMs
            + ControllerContext.withClockDrift(context.workerLeaseMs())
            + context.stepMs() / 2
        < context.cancellationTimeoutMs();
  }
}
