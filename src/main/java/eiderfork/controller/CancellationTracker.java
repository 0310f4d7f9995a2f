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
  private static final int MOST_TOLD_AT_ONCE = 256;

  /** The most confirmations that are remembered for peers, and jobs known besides. */
  private static final int MOST = 16_384;

  /**
   * Past this many cancellation times nothing of a cancelled job can run that a peer could stop.
   */
  private static final int REMEMBERED_TIMES = 2;

  private record Confirmed(long number, String uid, long atMs) {}

  /** What is known from a peer and what it knows from here. */
  private static final class Peer {
    long process;
    long upTo;
    long acknowledged;

    /** When a confirmation that it had not acknowledged was last dropped before its time. */
    long evictedMs = NEVER;

    long provenMs = NEVER;
  }

  private final ControllerContext context;
  private final Consumer<String> learned;
  private final long process;
  private final long startedMs;

  private final Deque<Confirmed> confirmed = new ArrayDeque<>();
  private final Set<String> confirmedUids = new HashSet<>();
  private long lastNumber;

  /** When a confirmation was last dropped before its time, whoever knew it. */
  private long lastEvictedMs = NEVER;

  /** What was confirmed here or heard of; a hint that a restart or many others may lose. */
  private final Cache<String, Boolean> heard =
      Caffeine.newBuilder().maximumSize(MOST).executor(Runnable::run).build();

  /** What the state service held, of this term. */
  private final Set<String> read = new HashSet<>();

  private long readMs = NEVER;
  private final Map<String, Peer> peers = new HashMap<>();

  /**
   * @param learned takes each job that turns out to be cancelled, once or more often
   */
  CancellationTracker(ControllerContext context, Consumer<String> learned) {
    this.context = context;
    this.learned = learned;
    process = context.random.nextLong() | 1;
    startedMs = context.nowMs;
    context.settings.peers().keySet().forEach(node -> peers.put(node, new Peer()));
  }

  /** A term begins or ends: what memory held of it is gone, and proofs with it. */
  void forget() {
    read.clear();
    readMs = NEVER;
    peers.values().forEach(peer -> peer.provenMs = NEVER);
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
  void archived(String uid) {
    read.remove(uid);
  }

  /** This node is about to tell a user that the job is cancelled. */
  void confirm(String uid) {
    if (confirmedUids.add(uid)) {
      confirmed.add(new Confirmed(++lastNumber, uid, context.nowMs));
      if (confirmed.size() > MOST) {
        Confirmed oldest = confirmed.remove();
        confirmedUids.remove(oldest.uid);
        lastEvictedMs = context.nowMs;
        for (Peer peer : peers.values()) {
          if (peer.acknowledged < oldest.number) {
            peer.evictedMs = context.nowMs;
          }
        }
      }
    }
    hear(uid);
  }

  private void hear(String uid) {
    if (heard.getIfPresent(uid) == null) {
      heard.put(uid, true);
      learned.accept(uid);
    }
  }

  /** The state service holds this cancellation. */
  void read(String uid) {
    if (read.add(uid)) {
      learned.accept(uid);
    }
  }

  /** Everything that the state service held at this moment has been taken. */
  void caughtUp(long askedMs) {
    readMs = Math.max(readMs, askedMs);
  }

  private long rememberedMs() {
    return REMEMBERED_TIMES * context.cancelMs();
  }

  /** What this node tells a peer now. */
  CancellationGossip newsFor(String node) {
    while (!confirmed.isEmpty() && context.nowMs - confirmed.peek().atMs > rememberedMs()) {
      confirmedUids.remove(confirmed.remove().uid);
    }
    Peer peer = peers.getOrDefault(node, new Peer());
    Deque<Confirmed> unknown = new ArrayDeque<>();
    for (Iterator<Confirmed> it = confirmed.descendingIterator(); it.hasNext(); ) {
      Confirmed next = it.next();
      if (next.number <= peer.acknowledged) {
        break;
      }
      unknown.addFirst(next);
    }
    ImmutableList<String> uids =
        unknown.stream()
            .limit(MOST_TOLD_AT_ONCE)
            .map(Confirmed::uid)
            .collect(ImmutableList.toImmutableList());
    boolean evicted = context.nowMs - peer.evictedMs <= rememberedMs();
    // What was dropped because its time is over matters to nobody.
    long after = unknown.isEmpty() ? lastNumber : unknown.peek().number - 1;
    return new CancellationGossip(
        process,
        context.nowMs - startedMs,
        after,
        uids,
        !evicted && uids.size() == unknown.size(),
        peer.process,
        peer.upTo);
  }

  /** A peer said this, by itself or asked. */
  void heard(String node, CancellationGossip news) {
    Peer peer = peers.get(node);
    if (peer == null || news.process() == 0) {
      return;
    }
    if (news.process() != peer.process) {
      peer.process = news.process();
      peer.upTo = 0;
      peer.acknowledged = 0;
      // A process that knows nothing yet can't be told what was dropped already.
      peer.evictedMs = lastEvictedMs;
    }
    if (news.heardProcess() == process) {
      peer.acknowledged = Math.max(peer.acknowledged, news.heardUpTo());
    }
    news.uids().forEach(this::hear);
    peer.upTo = Math.max(peer.upTo, news.upTo());
  }

  /**
   * A peer answered a question of {@code askedMs} with this. Its word goes no further than the
   * moment of the question, and counts only where the process that answers has run since before
   * this node last had the state service: an earlier one may have confirmed what nobody remembers.
   */
  void answered(String node, CancellationGossip news, long askedMs) {
    heard(node, news);
    Peer peer = peers.get(node);
    long startedMs = context.nowMs - (long) (news.upMs() * (1 - ControllerContext.CLOCK_DRIFT));
    if (peer != null && news.complete() && startedMs < readMs) {
      peer.provenMs = Math.max(peer.provenMs, askedMs);
    }
  }

  /** Every cancellation that any node confirmed before this moment is known here. */
  long provenMs() {
    if (readMs == NEVER) {
      return NEVER;
    }
    long leastMs = context.nowMs;
    for (Peer peer : peers.values()) {
      leastMs = Math.min(leastMs, peer.provenMs);
    }
    return Math.max(readMs, leastMs);
  }

  /**
   * Whether a worker's lease may be renewed now. It runs from when the report was sent, which lies
   * behind, and is over within the cancellation time of whatever may have been cancelled unheard.
   */
  boolean mayRenew() {
    long sinceMs = ControllerContext.surely(context.nowMs - provenMs());
    return sinceMs + ControllerContext.surely(context.leaseMs()) + context.stepMs() / 2
        < context.cancelMs();
  }
}
