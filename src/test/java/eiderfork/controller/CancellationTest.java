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

/** A confirmed cancellation takes effect in time, whatever reaches the leader of it. */
class CancellationTest {
  private final SimulatedCluster cluster = new SimulatedCluster(7);
  private Job kept;
  private Job cancelled;

  @AfterEach
  void assertNoBreaches() {
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

  /** The index of a node that does not lead; there are two. */
  private String peer(int which) {
    return List.of("roost-0", "roost-1", "roost-2").stream()
        .filter(node -> !node.equals(cluster.leader()))
        .toList()
        .get(which);
  }

  /** Recovers the store after this time, with every lease in full. */
  private void outage(long afterMs, long forMs) {
    cluster.schedule(afterMs, () -> cluster.store.startOutage(cluster.nowMs));
    cluster.schedule(afterMs + forMs, () -> cluster.store.endOutage(cluster.nowMs));
  }

  /**
   * The store refuses the leader alone, a peer confirms a cancellation, and then it is out for all
   * while workers report to the old leader. Guarded by {@link CancellationTracker}: the peer sends
   * what it confirmed with its pings, and the leader stops it without the store.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 20, 50, 100, 300, 700, 1200, 1460, 1490, 1510})
  void cancellationConfirmedByAPeerReachesTheLeader(long afterMs) {
    startTwoServices();
    cluster.refuseStoreRequests(cluster.leader(), 14_000);
    String peer = peer(0);
    cluster.schedule(afterMs, () -> cluster.cancelOnce(peer, cancelled.uid()));
    outage(1500, 55_000);
    cluster.run(40);
    assertEquals(3, cluster.checker.runningTasks(kept.uid()), "held without the state service");
    if (cluster.checker.finalPhase(cancelled.uid()) == Phase.ABORTED) {
      assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    }
    cluster.run(30);
  }

  /**
   * The leader receives it only once its own lease has run out, and stops the tasks all the same.
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
    outage(1500, 55_000);
    cluster.run(5.8);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(cancelled.uid()));
    assertEquals(3, cluster.checker.runningTasks(cancelled.uid()), "the leader can't know yet");
    cluster.run(4);
    assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    assertEquals(3, cluster.checker.runningTasks(kept.uid()));
    cluster.run(55);
  }

  /** The same, and the peer that confirmed it ends, alone or with the other one. */
  @ParameterizedTest
  @ValueSource(longs = {1, 100, 300, 800, 1500, 3000, 8000})
  void cancellationConfirmedBeforeAPeerCrashTakesEffectInTime(long afterMs) {
    startTwoServices();
    cluster.refuseStoreRequests(cluster.leader(), 14_000);
    String peer = peer(0);
    String other = peer(1);
    cluster.cancelOnce(peer, cancelled.uid());
    cluster.schedule(afterMs, () -> cluster.crashNode(peer, 3000));
    cluster.schedule(afterMs + 400, () -> cluster.crashNode(other, 3000));
    outage(1500, 70_000);
    cluster.run(100);
    if (cluster.checker.finalPhase(cancelled.uid()) == Phase.ABORTED) {
      assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    }
  }

  /**
   * A leader cut from the store and from its peers, not from workers or users, receives nothing; it
   * keeps its workers' tasks no longer than its knowledge at the cut allows.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 30, 200, 1000, 3000, 6000, 12_000})
  void isolatedLeaderReleasesItsTasksInTime(long afterMs) {
    startTwoServices();
    String old = cluster.leader();
    String peer = peer(0);
    // The next leader can't reach the machines either.
    cluster.cutLink("roost-0>*", 90_000);
    cluster.cutLink("roost-1>*", 90_000);
    cluster.cutLink("roost-2>*", 90_000);
    cluster.isolateNode(old, 90_000);
    cluster.schedule(afterMs, () -> cluster.cancelOnce(peer, cancelled.uid()));
    cluster.run(60);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(cancelled.uid()));
    assertNotEquals(old, cluster.leader());
    assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    cluster.run(60);
    assertEquals(3, cluster.checker.runningTasks(kept.uid()));
  }

  /**
   * A peer that is silent, or whose process is another than before the cut, proves nothing: the
   * hold ends at the last proven moment. A whole outage with all peers in reach is held through.
   */
  @Test
  void tasksKeepRunningDuringAnOutageWithAllPeersReachable() {
    startTwoServices();
    int starts = cluster.checker.startCount;
    outage(0, 80_000);
    cluster.run(85);
    assertEquals(3, cluster.checker.runningTasks(kept.uid()));
    assertEquals(3, cluster.checker.runningTasks(cancelled.uid()));
    assertEquals(starts, cluster.checker.startCount);
  }

  @Test
  void peerRestartedDuringAnOutageProvesNothing() {
    startTwoServices();
    String peer = peer(0);
    outage(0, 80_000);
    cluster.schedule(2000, () -> cluster.crashNode(peer, 1000));
    cluster.run(45);
    assertEquals(0, cluster.checker.runningTasks(kept.uid()), "the hold ended at what was proven");
    cluster.run(70);
    assertEquals(3, cluster.checker.runningTasks(kept.uid()));
  }

  /**
   * The store comes back with the old leader's lease in full time. Renewing the lease says nothing
   * of cancellations: no worker is answered before they have been read.
   */
  @ParameterizedTest
  @ValueSource(longs = {14_000, 17_000, 19_000, 20_000, 21_000, 24_000})
  void reconnectedLeaderCatchesUpBeforeItAnswersWorkers(long outageMs) {
    startTwoServices();
    String old = cluster.leader();
    cluster.refuseStoreRequests(old, 1400 + outageMs);
    String peer = peer(0);
    cluster.cancelOnce(peer, cancelled.uid());
    cluster.cutLink(old + ">" + peer, 90_000);
    cluster.cutLink(peer + ">" + old, 90_000);
    outage(1000, outageMs);
    cluster.run(60);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(cancelled.uid()));
    assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
  }

  /** An outage catches a new leader between two reads of its rebuilding. */
  @ParameterizedTest
  @ValueSource(longs = {0, 10, 20, 30, 40, 50, 60, 70, 80, 100, 150})
  void recoveringLeaderStopsWhatPeersConfirmed(long afterMs) {
    startTwoServices();
    String old = cluster.leader();
    String peer = peer(0);
    cluster.crashNode(old, 90_000);
    while (cluster.leader() == null || cluster.leader().equals(old)) {
      cluster.run(0.002);
    }
    cluster.cancelOnce(peer, cancelled.uid());
    outage(afterMs, 60_000);
    cluster.run(50);
    if (cluster.checker.finalPhase(cancelled.uid()) == Phase.ABORTED) {
      assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    }
    cluster.run(60);
    assertEquals(3, cluster.checker.runningTasks(kept.uid()));
  }

  /** A paused controller answers heartbeats that arrived meanwhile from its older state. */
  @ParameterizedTest
  @ValueSource(longs = {3000, 9000, 15_000, 19_000, 23_000, 27_000})
  void pausedLeaderDoesNotAnswerFromStaleMemory(long stillMs) {
    startTwoServices();
    String old = cluster.leader();
    String peer = peer(0);
    cluster.cancelOnce(peer, cancelled.uid());
    cluster.freezeNode(old, stillMs);
    cluster.cutLink(old + ">state", 90_000);
    cluster.cutLink("state>" + old, 90_000);
    cluster.run(70);
    assertEquals(0, cluster.checker.runningTasks(cancelled.uid()));
    assertTrue(cluster.checker.runningTasks(kept.uid()) > 0);
  }
}
