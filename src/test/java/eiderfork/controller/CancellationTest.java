package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a confirmed cancellation takes effect in time, even if the leader learns of it late or
 * not at all.
 */
class CancellationTest {
  private final SimulatedCluster cluster = new SimulatedCluster(7);
  private Job kept;
  private Job cancelled;

  @AfterEach
  void assertNoViolations() {
    assertEquals(List.of(), cluster.checker.violations);
  }

  private void startTwoServices() {
    kept = TestFixtures.job(1, JobKind.SERVICE, 3, 1);
    cancelled = TestFixtures.job(2, JobKind.SERVICE, 3, 1);
    cluster.submit(kept);
    cluster.submit(cancelled);
    cluster.run(30);
    assertEquals(3, cluster.checker.runningTasks(cancelled.uid()));
  }

  /** Returns the name of one of the two nodes that don't lead. */
  private String peer(int index) {
    return List.of("roost-0", "roost-1", "roost-2").stream()
        .filter(node -> !node.equals(cluster.leader()))
        .toList()
        .get(index);
  }

  /**
   * Starts an outage of the store after a delay; when it ends, every lease is extended by its full
   * time.
   */
  private void scheduleOutage(long afterMs, long durationMs) {
    cluster.schedule(afterMs, () -> cluster.store.startOutage(cluster.nowMs));
    cluster.schedule(afterMs + durationMs, () -> cluster.store.endOutage(cluster.nowMs));
  }

  /**
   * The store refuses only the leader, a peer confirms a cancellation, and then the store is
   * unavailable for all nodes while workers report to the old leader. With {@link
   * CancellationTracker} the peer sends what it confirmed with its pings, and the leader stops the
   * tasks without the store.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 20, 50, 100, 300, 700, 1200, 1460, 1490, 1510})
  void cancellationConfirmedByAPeerReachesTheLeader(long afterMs) {
    startTwoServices();
    cluster.refuseStoreRequests(cluster.leader(), 14_000);
    String peer = peer(0);
    cluster.schedule(afterMs, () -> cluster.cancelOnce(peer, cancelled.uid()));
    scheduleOutage(1500, 55_000);
    cluster.run(40);
    assertEquals(
        3,
        cluster.checker.runningTasks(kept.uid()),
        "tasks of the other job while the store is unavailable");
    if (cluster.checker.finalPhase(cancelled.uid()) == Phase.ABORTED) {
      assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    }
    cluster.run(30);
  }

  /**
   * The leader receives a confirmed cancellation only after its own lease has expired, and stops
   * the tasks nevertheless.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 200, 500, 700})
  void cancellationReceivedDuringAnOutageStopsTasksAtOnce(long afterMs) {
    startTwoServices();
    String leader = cluster.leader();
    cluster.refuseStoreRequests(leader, 14_000);
    for (int i = 0; i < 2; i++) {
      cluster.cutLink(leader + ">" + peer(i), 6000);
      cluster.cutLink(peer(i) + ">" + leader, 6000);
    }
    String peer = peer(0);
    cluster.schedule(afterMs, () -> cluster.cancelOnce(peer, cancelled.uid()));
    scheduleOutage(1500, 55_000);
    cluster.run(5.8);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(cancelled.uid()));
    assertEquals(
        3,
        cluster.checker.runningTasks(cancelled.uid()),
        "tasks before the cancellation can reach the leader");
    cluster.run(4);
    assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    assertEquals(3, cluster.checker.runningTasks(kept.uid()));
    cluster.run(55);
  }

  /**
   * The store refuses the leader and is then unavailable, and the peer that confirmed a
   * cancellation crashes, 400 ms before the other peer.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 100, 300, 800, 1500, 3000, 8000})
  void cancellationConfirmedBeforeAPeerCrashTakesEffectInTime(long afterMs) {
    startTwoServices();
    cluster.refuseStoreRequests(cluster.leader(), 14_000);
    String peer = peer(0);
    String otherPeer = peer(1);
    cluster.cancelOnce(peer, cancelled.uid());
    cluster.schedule(afterMs, () -> cluster.crashNode(peer, 3000));
    cluster.schedule(afterMs + 400, () -> cluster.crashNode(otherPeer, 3000));
    scheduleOutage(1500, 70_000);
    cluster.run(100);
    if (cluster.checker.finalPhase(cancelled.uid()) == Phase.ABORTED) {
      assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    }
  }

  /**
   * A leader is cut off from the store and its peers, but not from workers or users, so no
   * cancellation reaches it. It may let workers keep their tasks only as long as the cancellations
   * known at the time of the cut allow.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 30, 200, 1000, 3000, 6000, 12_000})
  void isolatedLeaderReleasesItsTasksInTime(long afterMs) {
    startTwoServices();
    String oldLeader = cluster.leader();
    String peer = peer(0);
    // The next leader can't reach the machines either.
    cluster.cutLink("roost-0>*", 90_000);
    cluster.cutLink("roost-1>*", 90_000);
    cluster.cutLink("roost-2>*", 90_000);
    cluster.isolateNode(oldLeader, 90_000);
    cluster.schedule(afterMs, () -> cluster.cancelOnce(peer, cancelled.uid()));
    cluster.run(60);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(cancelled.uid()));
    assertNotEquals(oldLeader, cluster.leader());
    assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    cluster.run(60);
    assertEquals(3, cluster.checker.runningTasks(kept.uid()));
  }

  /**
   * During an outage of the store, the leader lets workers keep their tasks as long as all peers
   * prove that it knows every cancellation.
   */
  @Test
  void tasksKeepRunningDuringAnOutageWithAllPeersReachable() {
    startTwoServices();
    int starts = cluster.checker.startCount;
    scheduleOutage(0, 80_000);
    cluster.run(85);
    assertEquals(3, cluster.checker.runningTasks(kept.uid()));
    assertEquals(3, cluster.checker.runningTasks(cancelled.uid()));
    assertEquals(starts, cluster.checker.startCount);
  }

  /**
   * A silent peer, or one whose process was restarted since the outage began, proves nothing, so
   * tasks may run on only until the last proven moment.
   */
  @Test
  void peerRestartedDuringAnOutageProvesNothing() {
    startTwoServices();
    String peer = peer(0);
    scheduleOutage(0, 80_000);
    cluster.schedule(2000, () -> cluster.crashNode(peer, 1000));
    cluster.run(45);
    assertEquals(
        0, cluster.checker.runningTasks(kept.uid()), "tasks running past the last proven moment");
    cluster.run(70);
    assertEquals(3, cluster.checker.runningTasks(kept.uid()));
  }

  /**
   * The store recovers and extends the old leader's lease by its full time. A renewed lease proves
   * nothing about cancellations, so the leader must read them before it answers a worker.
   */
  @ParameterizedTest
  @ValueSource(longs = {14_000, 17_000, 19_000, 20_000, 21_000, 24_000})
  void reconnectedLeaderCatchesUpBeforeItAnswersWorkers(long outageMs) {
    startTwoServices();
    String oldLeader = cluster.leader();
    cluster.refuseStoreRequests(oldLeader, 1400 + outageMs);
    String peer = peer(0);
    cluster.cancelOnce(peer, cancelled.uid());
    cluster.cutLink(oldLeader + ">" + peer, 90_000);
    cluster.cutLink(peer + ">" + oldLeader, 90_000);
    scheduleOutage(1000, outageMs);
    cluster.run(60);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(cancelled.uid()));
    assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
  }

  /** The store becomes unavailable between two reads of a new leader's recovery. */
  @ParameterizedTest
  @ValueSource(longs = {0, 10, 20, 30, 40, 50, 60, 70, 80, 100, 150})
  void recoveringLeaderStopsWhatPeersConfirmed(long afterMs) {
    startTwoServices();
    String oldLeader = cluster.leader();
    String peer = peer(0);
    cluster.crashNode(oldLeader, 90_000);
    while (cluster.leader() == null || cluster.leader().equals(oldLeader)) {
      cluster.run(0.002);
    }
    cluster.cancelOnce(peer, cancelled.uid());
    scheduleOutage(afterMs, 60_000);
    cluster.run(50);
    if (cluster.checker.finalPhase(cancelled.uid()) == Phase.ABORTED) {
      assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    }
    cluster.run(60);
    assertEquals(3, cluster.checker.runningTasks(kept.uid()));
  }

  /**
   * When a paused controller resumes, it must not answer the heartbeats that arrived meanwhile from
   * its outdated state.
   */
  @ParameterizedTest
  @ValueSource(longs = {3000, 9000, 15_000, 19_000, 23_000, 27_000})
  void pausedLeaderDoesNotAnswerFromStaleMemory(long pauseMs) {
    startTwoServices();
    String oldLeader = cluster.leader();
    String peer = peer(0);
    cluster.cancelOnce(peer, cancelled.uid());
    cluster.freezeNode(oldLeader, pauseMs);
    cluster.cutLink(oldLeader + ">state", 90_000);
    cluster.cutLink("state>" + oldLeader, 90_000);
    cluster.run(70);
    assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    assertTrue(cluster.checker.runningTasks(kept.uid()) > 0);
  }
}
