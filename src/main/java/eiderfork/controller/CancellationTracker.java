package eiderfork.controller;

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
 * <p>Any node may confirm a cancellation that it wrote to the state service itself, and the leader
 * may be cut off from that service just then. So each node remembers what it confirmed and tells
 * its peers with each ping until they have it. A leader lets workers keep their tasks only as far
 * as it is proven that it knows every cancellation confirmed before: from the state service, or
 * from the word of all peers.
 */
final class CancellationTracker {
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

  /** What is known from a peer and what it knows from here. */
  private static final class PeerState {
    long processId;
    long receivedNumber;
    long acknowledgedNumber;

    /** When a confirmation that it had not acknowledged was last dropped before its time. */
    long evictedMs = NEVER;

    long completeUpToMs = NEVER;
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

  /** What was confirmed here or heard of; a hint that a restart or many others may lose. */
  private final Cache<String, Boolean> heard =
      Caffeine.newBuilder().maximumSize(MAX_REMEMBERED).executor(Runnable::run).build();

  /** What the state service held, of this term. */
  private final Set<String> read = new HashSet<>();

  private long caughtUpMs = NEVER;
  private final Map<String, PeerState> peers = new HashMap<>();

  /**
   * @param onLearned takes each job that turns out to be cancelled, once or more often
   */
  CancellationTracker(ControllerContext context, Consumer<String> onLearned) {
    this.context = context;
    this.onLearned = onLearned;
    processId = context.random.nextLong() | 1;
    startedMs = context.nowMs;
    context.settings.peerEndpoints().keySet().forEach(node -> peers.put(node, new PeerState()));
  }

  /** A term begins or ends: what memory held of it is gone, and proofs with it. */
  void reset() {
    read.clear();
    caughtUpMs = NEVER;
    peers.values().forEach(peer -> peer.completeUpToMs = NEVER);
  }

  /** Whether the job is known to be cancelled; that never changes. */
  boolean contains(String uid) {
    return read.contains(uid) || heard.getIfPresent(uid) != null;
  }

  /** Whether some node has told a user that the job is cancelled. */
  boolean wasConfirmed(String uid) {
    return heard.getIfPresent(uid) != null;
  }

  /** The job is archived, so that nothing of it runs; its cancellation is not read any more. */
  void jobArchived(String uid) {
    read.remove(uid);
  }

  /** This node is about to tell a user that the job is cancelled. */
  void confirm(String uid) {
    if (confirmedUids.add(uid)) {
      confirmed.add(new Confirmation(++lastNumber, uid, context.nowMs));
      if (confirmed.size() > MAX_REMEMBERED) {
        Confirmation oldest = confirmed.remove();
        confirmedUids.remove(oldest.uid);
        lastEvictedMs = context.nowMs;
        for (PeerState peer : peers.values()) {
          if (peer.acknowledgedNumber < oldest.number) {
            peer.evictedMs = context.nowMs;
          }
        }
      }
    }
    learn(uid);
  }

  private void learn(String uid) {
    if (heard.getIfPresent(uid) == null) {
      heard.put(uid, true);
      onLearned.accept(uid);
    }
  }

  /** The state service holds this cancellation. */
  void read(String uid) {
    if (read.add(uid)) {
      onLearned.accept(uid);
    }
  }

  /** Everything that the state service held at this moment has been taken. */
  void recordCaughtUp(long requestedMs) {
    caughtUpMs = Math.max(caughtUpMs, requestedMs);
  }

  private long retentionMs() {
    return RETENTION_TIMEOUTS * context.cancellationTimeoutMs();
  }

  /** What this node tells a peer now. */
  CancellationGossip gossipFor(String node) {
    while (!confirmed.isEmpty() && context.nowMs - confirmed.peek().confirmedMs > retentionMs()) {
      confirmedUids.remove(confirmed.remove().uid);
    }
    PeerState peer = peers.getOrDefault(node, new PeerState());
    Deque<Confirmation> unknown = new ArrayDeque<>();
    for (Iterator<Confirmation> it = confirmed.descendingIterator(); it.hasNext(); ) {
      Confirmation next = it.next();
      if (next.number <= peer.acknowledgedNumber) {
        break;
      }
      unknown.addFirst(next);
    }
    ImmutableList<String> uids =
        unknown.stream()
            .limit(MAX_JOBS_PER_MESSAGE)
            .map(Confirmation::uid)
            .collect(ImmutableList.toImmutableList());
    boolean evicted = context.nowMs - peer.evictedMs <= retentionMs();
    // What was dropped because its time is over matters to nobody.
    long after = unknown.isEmpty() ? lastNumber : unknown.peek().number - 1;
    return new CancellationGossip(
        processId,
        context.nowMs - startedMs,
        after,
        uids,
        !evicted && uids.size() == unknown.size(),
        peer.processId,
        peer.receivedNumber);
  }

  /** A peer said this, by itself or asked. */
  void heard(String node, CancellationGossip gossip) {
    PeerState peer = peers.get(node);
    if (peer == null || gossip.processId() == 0) {
      return;
    }
    if (gossip.processId() != peer.processId) {
      peer.processId = gossip.processId();
      peer.receivedNumber = 0;
      peer.acknowledgedNumber = 0;
      // A process that knows nothing yet can't be told what was dropped already.
      peer.evictedMs = lastEvictedMs;
    }
    if (gossip.acknowledgedProcessId() == processId) {
      peer.acknowledgedNumber = Math.max(peer.acknowledgedNumber, gossip.acknowledgedNumber());
    }
    gossip.uids().forEach(this::learn);
    peer.receivedNumber = Math.max(peer.receivedNumber, gossip.lastNumber());
  }

  /**
   * A peer answered a question of {@code requestedMs} with this. Its word goes no further than the
   * moment of the question, and counts only where the process that answers has run since before
   * this node last had the state service: an earlier one may have confirmed what nobody remembers.
   */
  void receiveReply(String node, CancellationGossip gossip, long requestedMs) {
    heard(node, gossip);
    PeerState peer = peers.get(node);
    long startedMs =
        context.nowMs - (long) (gossip.uptimeMs() * (1 - ControllerContext.MAX_CLOCK_DRIFT));
    if (peer != null && gossip.complete() && startedMs < caughtUpMs) {
      peer.completeUpToMs = Math.max(peer.completeUpToMs, requestedMs);
    }
  }

  /** Every cancellation that any node confirmed before this moment is known here. */
  long completeUpToMs() {
    if (caughtUpMs == NEVER) {
      return NEVER;
    }
    long leastMs = context.nowMs;
    for (PeerState peer : peers.values()) {
      leastMs = Math.min(leastMs, peer.completeUpToMs);
    }
    return Math.max(caughtUpMs, leastMs);
  }

  /**
   * Whether a worker's lease may be renewed now. It runs from when the report was sent, which lies
   * behind, and is over within the cancellation time of whatever may have been cancelled unheard.
   */
  boolean mayRenewLeases() {
    long sinceMs = ControllerContext.withClockDrift(context.nowMs - completeUpToMs());
    return sinceMs
            + ControllerContext.withClockDrift(context.workerLeaseMs())
            + context.stepMs() / 2
        < context.cancellationTimeoutMs();
  }
}
