package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.message.StoreKeys;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Controllers that are disconnected for longer than every lease, or suspended. */
class SilentControllersTest {
  private static final long DISCONNECTED_MS = 75_000;

  /** A way to disconnect a controller; with {@code REFUSED} the store refuses its requests. */
  enum Disconnection {
    ALL,
    STATE_SERVICE,
    WORKERS,
    REFUSED
  }

  private final SimulatedCluster cluster = new SimulatedCluster(21);

  @AfterEach
  void assertNoViolations() {
    assertEquals(List.of(), cluster.checker.violations);
  }

  private void disconnect(String node, Disconnection disconnection, long durationMs) {
    switch (disconnection) {
      case ALL -> {
        cluster.isolateNode(node, durationMs);
        disconnectFromWorkers(node, durationMs);
      }
      case STATE_SERVICE -> cluster.cutLink(node + ">state", durationMs);
      case WORKERS -> disconnectFromWorkers(node, durationMs);
      case REFUSED -> cluster.refuseStoreRequests(node, durationMs);
      default -> throw new IllegalArgumentException(disconnection.toString());
    }
  }

  /** Drops heartbeats to the node and its commands to all workers. */
  private void disconnectFromWorkers(String node, long durationMs) {
    cluster.cutLink("*>" + node, durationMs);
    cluster.cutLink(node + ">*", durationMs);
  }

  private long storedTerm() {
    return cluster.store.get(StoreKeys.TERM) instanceof StoredRecord.TermCounter counter
        ? counter.term()
        : 0;
  }

  /** Schedules services and arrays at regular intervals, and cancels every fourth job. */
  private List<Job> scheduleJobs(int firstNumber, int count, long intervalMs) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Job job =
          TestFixtures.job(firstNumber + i, i % 2 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 2, 1);
      jobs.add(job);
      cluster.schedule(1000 + i * intervalMs, () -> cluster.submit(job));
      if (i % 4 == 2) {
        cluster.schedule(9000 + i * intervalMs, () -> cluster.cancel(job.uid()));
      }
    }
    return jobs;
  }

  /**
   * A controller that reaches the store and the workers takes over and serves users, and leadership
   * does not go back and forth.
   */
  @ParameterizedTest
  @EnumSource(Disconnection.class)
  void aLeaderDisconnectedForOverAMinuteIsReplacedOnce(Disconnection disconnection) {
    List<Job> jobs = scheduleJobs(1, 20, 4000);
    cluster.run(20);
    String disconnectedNode = cluster.leader();
    long termBefore = storedTerm();
    disconnect(disconnectedNode, disconnection, DISCONNECTED_MS);
    cluster.run(20);
    assertNotEquals(disconnectedNode, cluster.leader());
    assertTrue(cluster.controllers.get(cluster.leader()) != null);
    cluster.run(70);
    assertTrue(
        storedTerm() <= termBefore + 2, "term rose from " + termBefore + " to " + storedTerm());
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * Workers that cannot reach the leader find its successor within their lease. The peers once
   * redirected them to the old leader, where each attempt timed out after 4 s, and half of the
   * workers lost their tasks.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void workersThatCannotReachTheLeaderKeepTheirLeases(long seed) {
    SimulatedCluster seededCluster = new SimulatedCluster(seed);
    for (int i = 1; i <= 12; i++) {
      seededCluster.submit(TestFixtures.job(i, JobKind.SERVICE, 2, 2));
    }
    seededCluster.run(30);
    List<Long> incarnationsBefore =
        seededCluster.workers().stream().map(FakeWorker::incarnation).toList();
    String leader = seededCluster.leader();
    seededCluster.cutLink("*>" + leader, DISCONNECTED_MS);
    seededCluster.cutLink(leader + ">*", DISCONNECTED_MS);
    seededCluster.run(25);
    assertNotEquals(leader, seededCluster.leader());
    List<Long> incarnationsAfter =
        seededCluster.workers().stream().map(FakeWorker::incarnation).toList();
    assertEquals(
        incarnationsBefore,
        incarnationsAfter.subList(0, incarnationsBefore.size()),
        "worker leases expired");
    assertEquals(List.of(), seededCluster.checker.violations);
  }

  /**
   * Two controllers are disconnected together; the third leads, or none where this cannot be told
   * from an outage.
   */
  @ParameterizedTest
  @CsvSource({"ALL,ALL", "ALL,WORKERS", "STATE_SERVICE,WORKERS", "REFUSED,ALL", "WORKERS,WORKERS"})
  void theThirdControllerLeadsWhileTwoAreDisconnected(Disconnection first, Disconnection second) {
    List<Job> jobs = scheduleJobs(1, 20, 4000);
    cluster.run(20);
    String leader = cluster.leader();
    List<String> others =
        cluster.nodeNames().stream().filter(node -> !node.equals(leader)).toList();
    long termBefore = storedTerm();
    disconnect(leader, first, DISCONNECTED_MS);
    disconnect(others.get(0), second, DISCONNECTED_MS);
    cluster.run(40);
    assertEquals(others.get(1), cluster.leader());
    cluster.run(60);
    assertTrue(
        storedTerm() <= termBefore + 4, "term rose from " + termBefore + " to " + storedTerm());
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * The leader is cut off from workers, but its peers are cut off from the store: none is better.
   */
  @Test
  void aLeaderThatNoPeerCanReplaceKeepsTheLeadership() {
    List<Job> jobs = scheduleJobs(1, 12, 5000);
    cluster.run(20);
    String leader = cluster.leader();
    long termBefore = storedTerm();
    disconnect(leader, Disconnection.WORKERS, DISCONNECTED_MS);
    for (String node : cluster.nodeNames()) {
      if (!node.equals(leader)) {
        disconnect(node, Disconnection.STATE_SERVICE, DISCONNECTED_MS);
      }
    }
    cluster.run(60);
    assertEquals(leader, cluster.leader());
    assertEquals(termBefore, storedTerm(), "leadership changed");
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * After a suspended leader resumes, it must not renew leases, confirm cancellations or place
   * tasks from the state that it had before.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 5, 20})
  void aLeaderSuspendedDuringAnyOperationCausesNoViolation(int seconds) {
    for (long offsetMs = 0; offsetMs < 600; offsetMs += 50) {
      SimulatedCluster seededCluster = new SimulatedCluster(100 + offsetMs);
      List<Job> jobs = new ArrayList<>();
      seededCluster.run(2);
      for (int i = 1; i <= 8; i++) {
        Job job = TestFixtures.job(i, i % 2 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 2, 1);
        jobs.add(job);
        seededCluster.schedule(i * 700L, () -> seededCluster.submit(job));
      }
      seededCluster.run(12);
      String leader = seededCluster.leader();
      Job started = TestFixtures.job(20, JobKind.SERVICE, 2, 1);
      Job cancelled = jobs.get(1);
      jobs.add(started);
      // A write, a command, a reply and a cancellation are in flight when the leader is suspended.
      seededCluster.submit(started);
      seededCluster.cancel(cancelled.uid());
      seededCluster.schedule(offsetMs, () -> seededCluster.freezeNode(leader, seconds * 1000L));
      // Another node confirms a cancellation that the suspended leader cannot know of.
      seededCluster.schedule(
          offsetMs + seconds * 500L,
          () -> {
            for (String node : seededCluster.nodeNames()) {
              if (!node.equals(leader)) {
                seededCluster.cancelOnce(node, jobs.get(3).uid());
              }
            }
          });
      seededCluster.run(70);
      assertEquals(
          List.of(),
          seededCluster.checker.violations,
          "leader suspended after " + offsetMs + " ms");
      assertEquals(Phase.ABORTED, seededCluster.checker.finalPhase(cancelled.uid()));
      assertEquals(2, seededCluster.checker.runningTasks(started.uid()));
    }
  }

  /**
   * Workers try the nodes in a fixed order and wait 4 s for one that does not respond. While a node
   * is down, the node before it in this order should lead only if no other can.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void theNodeBeforeACrashedOneDoesNotLead(long seed) {
    SimulatedCluster seededCluster = new SimulatedCluster(seed);
    for (int i = 1; i <= 8; i++) {
      seededCluster.submit(TestFixtures.job(i, JobKind.SERVICE, 2, 2));
    }
    seededCluster.run(30);
    int crashedIndex = seededCluster.leader().charAt(seededCluster.leader().length() - 1) - '0';
    seededCluster.crashNode(seededCluster.leader(), DISCONNECTED_MS);
    seededCluster.run(15);
    int leaderIndex = seededCluster.leader().charAt(seededCluster.leader().length() - 1) - '0';
    assertNotEquals(
        crashedIndex,
        (leaderIndex + 1) % seededCluster.nodeCount,
        "workers would try the crashed node next");
    List<FakeWorker> workers = seededCluster.workers();
    List<Long> incarnationsBefore = workers.stream().map(FakeWorker::incarnation).toList();
    seededCluster.freezeNode(seededCluster.leader(), 20_000);
    seededCluster.run(25);
    assertEquals(
        incarnationsBefore,
        workers.stream().map(FakeWorker::incarnation).toList(),
        "worker leases expired");
    assertEquals(List.of(), seededCluster.checker.violations);
  }

  /** Machines boot after 60 s, while the store refuses the leader and machines are returned. */
  @Test
  void lateBootsWhileTheStoreRefusesTheLeaderDoNotRentTooManyMachines() {
    cluster.cloud.bootMs = 60_000;
    List<Job> jobs = scheduleJobs(1, 8, 1000);
    cluster.run(12);
    disconnect(cluster.leader(), Disconnection.REFUSED, DISCONNECTED_MS);
    cluster.run(30);
    cluster.cloud.bootMs = 0;
    cluster.run(60);
    cluster.workers().stream()
        .limit(1)
        .forEach(worker -> cluster.failMachine(worker.machine.name()));
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    int hosts = cluster.cloud.hosts().size();
    assertTrue(hosts <= 40, hosts + " machines were rented");
  }
}
