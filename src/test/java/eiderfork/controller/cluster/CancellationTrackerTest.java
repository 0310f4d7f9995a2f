package eiderfork.controller.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.TestFixtures;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.CancellationGossip;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the exchange of cancellations between peers, and the time up to which it proves that all
 * are known.
 */
class CancellationTrackerTest {
  private final ControllerContext leaderContext =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1000);
  private final ControllerContext peerContext =
      new ControllerContext(TestFixtures.settings("roost-1"), new Random(2), 1000);
  private final ControllerContext otherContext =
      new ControllerContext(TestFixtures.settings("roost-2"), new Random(3), 1000);
  private final List<String> learned = new ArrayList<>();
  private final CancellationTracker leader = new CancellationTracker(leaderContext, learned::add);
  private CancellationTracker peer = new CancellationTracker(peerContext, uid -> {});
  private final CancellationTracker other = new CancellationTracker(otherContext, uid -> {});

  @BeforeEach
  void readStoreAsLeader() {
    advanceTo(60_000);
    leader.recordCaughtUp(60_000);
  }

  private void advanceTo(long nowMs) {
    leaderContext.advanceTo(nowMs);
    peerContext.advanceTo(nowMs);
    otherContext.advanceTo(nowMs);
  }

  /** Sends a ping from the leader to a peer and delivers the reply after {@code roundTripMs}. */
  private void ping(String node, CancellationTracker receiver, long roundTripMs) {
    long requestedMs = leaderContext.nowMs();
    receiver.receive("roost-0", leader.gossipFor(node));
    CancellationGossip gossip = receiver.gossipFor("roost-0");
    advanceTo(requestedMs + roundTripMs);
    leader.receiveReply(node, gossip, requestedMs);
  }

  @Test
  void completenessIsProvedUpToEarliestRequestOfLastReplies() {
    advanceTo(70_000);
    ping("roost-1", peer, 300);
    assertEquals(60_000, leader.completeUpToMs(), "the other peer has not replied");
    ping("roost-2", other, 700);
    assertEquals(70_000, leader.completeUpToMs(), "the time of the request, not of the replies");
    advanceTo(80_000);
    ping("roost-1", peer, 10);
    assertEquals(70_300, leader.completeUpToMs());
  }

  @Test
  void replyOfProcessStartedAfterLastReadProvesNothing() {
    advanceTo(70_000);
    peer = new CancellationTracker(peerContext, uid -> {});
    advanceTo(71_000);
    ping("roost-1", peer, 10);
    ping("roost-2", other, 10);
    assertEquals(60_000, leader.completeUpToMs());
    leader.recordCaughtUp(71_500);
    advanceTo(72_000);
    ping("roost-1", peer, 10);
    ping("roost-2", other, 10);
    assertEquals(72_000, leader.completeUpToMs(), "the process started before the newest read");
  }

  @Test
  void leasesAreRenewedOnlyIfTheyEndWithinCancellationTimeout() {
    // Worker leases last 10 s, and the cancellation timeout is 30 s.
    advanceTo(79_000);
    assertTrue(leader.mayRenewLeases());
    advanceTo(79_500);
    assertFalse(leader.mayRenewLeases());
  }

  /** More cancellations than fit in one message prove nothing until the last part has arrived. */
  @Test
  void manyCancellationsAreSplitAcrossMessages() {
    for (int i = 0; i < 600; i++) {
      peer.confirm("run-" + i);
    }
    advanceTo(61_000);
    ping("roost-2", other, 10);
    ping("roost-1", peer, 10);
    assertEquals(256, learned.size());
    assertEquals(60_000, leader.completeUpToMs());
    ping("roost-1", peer, 10);
    ping("roost-1", peer, 10);
    assertEquals(600, learned.size());
    assertEquals(61_000, leader.completeUpToMs());
    ping("roost-1", peer, 10);
    assertEquals(
        0, peer.gossipFor("roost-0").uids().size(), "acknowledged ones are not sent again");
  }

  /**
   * A peer whose memory limit evicted a confirmation before its retention ended must not report its
   * messages as complete, because the evicted confirmation never reaches the leader.
   */
  @Test
  void peerProvesNothingAfterEviction() {
    for (int i = 0; i < 17_000; i++) {
      peer.confirm("run-" + i);
    }
    assertFalse(peer.gossipFor("roost-0").complete());
    for (int i = 0; i < 80; i++) {
      ping("roost-1", peer, 1);
    }
    assertTrue(leader.contains("run-16999"));
    ping("roost-2", other, 1);
    assertFalse(leader.contains("run-0"), "it was evicted before it was sent");
    assertEquals(60_000, leader.completeUpToMs());
    advanceTo(60_000 + 200_000);
    ping("roost-1", peer, 1);
    assertEquals(60_080, leader.completeUpToMs(), "the other peer last replied long ago");
    ping("roost-2", other, 1);
    assertEquals(
        260_000, leader.completeUpToMs(), "the retention of the evicted confirmations is over");
  }

  @Test
  void delayedMessageOfEarlierProcessIsApplied() {
    peer.confirm("run-1");
    CancellationGossip delayed = peer.gossipFor("roost-0");
    peer = new CancellationTracker(peerContext, uid -> {});
    peer.confirm("run-2");
    ping("roost-1", peer, 10);
    leader.receive("roost-1", delayed);
    assertEquals(List.of("run-2", "run-1"), learned);
    ping("roost-1", peer, 10);
    assertTrue(leader.contains("run-1") && leader.contains("run-2"));
    assertEquals(List.of("run-2", "run-1"), learned, "nothing is learned twice");
  }
}
