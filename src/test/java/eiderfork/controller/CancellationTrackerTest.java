package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.CancellationGossip;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What peers tell each other of cancellations, and up to when that proves anything. */
class CancellationTrackerTest {
  private final ControllerContext leaderTime =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1000);
  private final ControllerContext peerTime =
      new ControllerContext(TestFixtures.settings("roost-1"), new Random(2), 1000);
  private final ControllerContext otherTime =
      new ControllerContext(TestFixtures.settings("roost-2"), new Random(3), 1000);
  private final List<String> learned = new ArrayList<>();
  private final CancellationTracker leader = new CancellationTracker(leaderTime, learned::add);
  private CancellationTracker peer = new CancellationTracker(peerTime, uid -> {});
  private final CancellationTracker other = new CancellationTracker(otherTime, uid -> {});

  @BeforeEach
  void theLeaderHasReadEverything() {
    at(60_000);
    leader.recordCaughtUp(60_000);
  }

  private void at(long nowMs) {
    leaderTime.nowMs = nowMs;
    peerTime.nowMs = nowMs;
    otherTime.nowMs = nowMs;
  }

  /** The leader pings, and the answer arrives a while after it was asked for. */
  private void ping(String node, CancellationTracker to, long tookMs) {
    long requestedMs = leaderTime.nowMs;
    to.receive("roost-0", leader.gossipFor(node));
    CancellationGossip gossip = to.gossipFor("roost-0");
    at(requestedMs + tookMs);
    leader.receiveReply(node, gossip, requestedMs);
  }

  @Test
  void theEarliestQuestionThatAPeerAnsweredIsTheProof() {
    at(70_000);
    ping("roost-1", peer, 300);
    assertEquals(60_000, leader.completeUpToMs(), "the other peer has not answered");
    ping("roost-2", other, 700);
    assertEquals(70_000, leader.completeUpToMs(), "not when the answers came");
    at(80_000);
    ping("roost-1", peer, 10);
    assertEquals(70_300, leader.completeUpToMs());
  }

  @Test
  void aProcessStartedSinceTheLastReadProvesNothing() {
    at(70_000);
    peer = new CancellationTracker(peerTime, uid -> {});
    at(71_000);
    ping("roost-1", peer, 10);
    ping("roost-2", other, 10);
    assertEquals(60_000, leader.completeUpToMs());
    leader.recordCaughtUp(71_500);
    at(72_000);
    ping("roost-1", peer, 10);
    ping("roost-2", other, 10);
    assertEquals(72_000, leader.completeUpToMs(), "it has run since before the newest read");
  }

  @Test
  void leasesEndWithinTheCancellationTimeOfTheProof() {
    // Leases of 10 s, cancellations of 30 s.
    at(79_000);
    assertTrue(leader.mayRenewLeases());
    at(79_500);
    assertFalse(leader.mayRenewLeases());
  }

  /** More than one message holds: until the last part is there, nothing is proven. */
  @Test
  void manyCancellationsComeInParts() {
    for (int i = 0; i < 600; i++) {
      peer.confirm("run-" + i);
    }
    at(61_000);
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
        0, peer.gossipFor("roost-0").uids().size(), "acknowledged ones are not told again");
  }

  /** What was dropped for want of memory before its time makes the peer's word incomplete. */
  @Test
  void aPeerThatForgotSomeProvesNothing() {
    for (int i = 0; i < 17_000; i++) {
      peer.confirm("run-" + i);
    }
    assertFalse(peer.gossipFor("roost-0").complete());
    for (int i = 0; i < 80; i++) {
      ping("roost-1", peer, 1);
    }
    assertTrue(leader.contains("run-16999"));
    ping("roost-2", other, 1);
    assertFalse(leader.contains("run-0"), "it was dropped before it was told");
    assertEquals(60_000, leader.completeUpToMs());
    at(60_000 + 200_000);
    ping("roost-1", peer, 1);
    assertEquals(60_080, leader.completeUpToMs(), "the other peer was asked last long ago");
    ping("roost-2", other, 1);
    assertEquals(260_000, leader.completeUpToMs(), "what was dropped matters no more");
  }

  @Test
  void aLateMessageOfAnEarlierProcessIsTakenForWhatItSays() {
    peer.confirm("run-1");
    CancellationGossip late = peer.gossipFor("roost-0");
    peer = new CancellationTracker(peerTime, uid -> {});
    peer.confirm("run-2");
    ping("roost-1", peer, 10);
    leader.receive("roost-1", late);
    assertEquals(List.of("run-2", "run-1"), learned);
    ping("roost-1", peer, 10);
    assertTrue(leader.contains("run-1") && leader.contains("run-2"));
    assertEquals(List.of("run-2", "run-1"), learned, "nothing is learned twice");
  }
}
