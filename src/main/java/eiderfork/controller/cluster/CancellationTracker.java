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
 * Tracks the jobs that are known to be cancelled, and the time up to which every confirmed
 * cancellation is known to this node.
 *
 * <p>Any node may confirm a cancellation that it wrote to the store itself, at a time when the
 * leader has no connection to the store. Each node therefore remembers its confirmations and sends
 * them to its peers with each ping until they acknowledge them. A leader renews worker leases only
 * if it is proven, by a read of the store or by replies of all peers, that the leader knows every
 * cancellation confirmed up to a sufficiently recent time.
 */
public final class CancellationTracker {
  private static final long NEVER = Long.MIN_VALUE / 4;

  /**
   * The maximum number of jobs per message. Even with the longest ids it stays far below 64 KiB.
   */
  private static final int MAX_JOBS_PER_MESSAGE = 256;

  /**
   * The maximum number of confirmations kept for peers, and the maximum size of {@link
   * #confirmedAnywhere}.
   */
  private static final int MAX_REMEMBERED = 16_384;

  /**
   * The retention of confirmations, in cancellation timeouts. After that time no task of the job
   * can still be running that a peer would have to stop.
   */
  private static final int RETENTION_TIMEOUTS = 2;

  private record Confirmation(long number, String uid, long confirmedMs) {}

  /** The progress of the exchange with one peer, in both directions. */
  private static final class PeerState {
    private long processId;
    private long receivedNumber;
    private long acknowledgedNumber;

    /**
     * The time at which a confirmation that the peer had not acknowledged was last evicted before
     * its retention ended.
     */
    private long unacknowledgedEvictedMs = NEVER;

    /** The time up to which all confirmations by the peer are known to this node. */
    private long completeUpToMs = NEVER;

    private void onRestart(long newProcessId, long lastEvictedMs) {
      processId = newProcessId;
      receivedNumber = 0;
      acknowledgedNumber = 0;
      // A new process knows no confirmations yet, and evicted ones can't be sent to it any more.
      unacknowledgedEvictedMs = lastEvictedMs;
    }
  }

  private final ControllerContext context;
  private final Consumer<String> onLearned;
  private final long processId;
  private final long startedMs;

  private final Deque<Confirmation> confirmed = new ArrayDeque<>();
  private final Set<String> confirmedUids = new HashSet<>();
  private long lastNumber;

  /**
   * The time at which any confirmation, acknowledged or not, was last evicted before its retention
   * ended.
   */
  private long lastEvictedMs = NEVER;

  /**
   * The jobs whose cancellation this node or a peer confirmed. It is only a hint: a restart or an
   * eviction may lose entries.
   */
  private final Cache<String, Boolean> confirmedAnywhere =
      Caffeine.newBuilder().maximumSize(MAX_REMEMBERED).executor(Runnable::run).build();

  /** The cancelled jobs that were read from the store in this term. */
  private final Set<String> storedUids = new HashSet<>();

  /** The time up to which all cancellations in the store are known. */
  private long caughtUpMs = NEVER;

  private final Map<String, PeerState> peers = new HashMap<>();

  /**
   * Creates a tracker that knows no cancellations.
   *
   * @param onLearned takes each job that is found to be cancelled, at least once
   */
  public CancellationTracker(ControllerContext context, Consumer<String> onLearned) {
    this.context = context;
    this.onLearned = onLearned;
    processId = context.random.nextLong() | 1;
    startedMs = context.nowMs();
    context.settings.peerEndpoints().keySet().forEach(node -> peers.put(node, new PeerState()));
  }

  /**
   * Clears the cancellations read from the store and the proofs of completeness, when a term begins
   * or ends.
   */
  public void reset() {
    storedUids.clear();
    caughtUpMs = NEVER;
    peers.values().forEach(peer -> peer.completeUpToMs = NEVER);
  }

  /** Returns whether the job is known to be cancelled. A cancellation is final. */
  public boolean contains(String uid) {
    return storedUids.contains(uid) || confirmedAnywhere.getIfPresent(uid) != null;
  }

  /** Returns whether a node is known to have confirmed to a user that the job is cancelled. */
  public boolean wasConfirmed(String uid) {
    return confirmedAnywhere.getIfPresent(uid) != null;
  }

  /** Forgets a stored cancellation, as the job is archived and none of its tasks run any more. */
  public void recordArchived(String uid) {
    storedUids.remove(uid);
  }

  /** Records that this node is about to confirm to a user that the job is cancelled. */
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
        peer.unacknowledgedEvictedMs = context.nowMs();
      }
    }
  }

  private void learn(String uid) {
    if (confirmedAnywhere.getIfPresent(uid) == null) {
      confirmedAnywhere.put(uid, true);
      onLearned.accept(uid);
    }
  }

  /** Records that the store contains a cancellation of the job. */
  public void recordStored(String uid) {
    if (storedUids.add(uid)) {
      onLearned.accept(uid);
    }
  }

  /** Records that all cancellations in the store as of {@code requestedMs} are known. */
  public void recordCaughtUp(long requestedMs) {
    caughtUpMs = Math.max(caughtUpMs, requestedMs);
  }

  private long retentionMs() {
    return RETENTION_TIMEOUTS * context.cancellationTimeoutMs();
  }

  /** Returns the message to send to a peer now. */
  public CancellationGossip gossipFor(String node) {
    dropExpired();
    PeerState peer = peers.getOrDefault(node, new PeerState());
    Deque<Confirmation> unacknowledged = unacknowledgedBy(peer);
    ImmutableList<String> uids =
        unacknowledged.stream()
            .limit(MAX_JOBS_PER_MESSAGE)
            .map(Confirmation::uid)
            .collect(ImmutableList.toImmutableList());
    boolean evicted = context.nowMs() - peer.unacknowledgedEvictedMs <= retentionMs();
    // Skips expired confirmations, which no peer needs any more.
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

  /** Returns the confirmations that a peer has not acknowledged, oldest first. */
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

  /** Handles a message from a peer, unsolicited or in a reply. */
  void receive(String node, CancellationGossip gossip) {
    PeerState peer = peers.get(node);
    if (peer == null || gossip.processId() == 0) {
      return;
    }
    if (gossip.processId() != peer.processId) {
      peer.onRestart(gossip.processId(), lastEvictedMs);
    }
    if (gossip.acknowledgedProcessId() == processId) {
      peer.acknowledgedNumber = Math.max(peer.acknowledgedNumber, gossip.acknowledgedNumber());
    }
    gossip.uids().forEach(this::learn);
    peer.receivedNumber = Math.max(peer.receivedNumber, gossip.lastNumber());
  }

  /**
   * Handles a peer's reply to a request that was sent at {@code requestedMs}. The reply proves
   * completeness only up to that time, and only if the replying process started before this node
   * last read the store: an earlier process may have confirmed cancellations that no node
   * remembers.
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

  /**
   * Returns the time before which every cancellation confirmed by any node is known to this node.
   */
  long completeUpToMs() {
    if (caughtUpMs == NEVER) {
      return NEVER;
    }
    long provenByPeersMs = context.nowMs();
    for (PeerState peer : peers.values()) {
      provenByPeersMs = Math.min(provenByPeersMs, peer.completeUpToMs);
    }
    return Math.max(caughtUpMs, provenByPeersMs);
  }

  /**
   * Returns whether a worker's lease may be renewed now. The lease counts from the sending of the
   * heartbeat, and must end within the cancellation timeout of the earliest cancellation that may
   * be unknown to this node.
   */
  public boolean mayRenewLeases() {
    long unprovenMs = ControllerContext.withClockDrift(context.nowMs() - completeUpToMs());
    return unprovenMs
            + ControllerContext.withClockDrift(context.workerLeaseMs())
            + context.stepMs() / 2
        < context.cancellationTimeoutMs();
  }
}
