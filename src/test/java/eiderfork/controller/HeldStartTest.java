package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.Priority;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The network between two zones is interrupted for longer than the cancellation timeout and holds
 * starts back. When it recovers, a worker must reject the starts of jobs that were cancelled
 * meanwhile, although a lease proxy has renewed its lease all the time.
 */
class HeldStartTest {
  private static final int INTERRUPTION_MS = 45_000;

  /** A limit on elections until a node of the wanted zone leads. */
  private static final int MAX_ELECTIONS = 10;

  private static LongStream seeds() {
    return LongStream.rangeClosed(1, 12);
  }

  /** Returns a cluster of seven nodes in two zones whose machines keep their images. */
  static SimulatedCluster newCluster(long seed) {
    SimulatedCluster cluster = LeaseProxyTest.newCluster(seed);
    cluster.cachesImages = true;
    return cluster;
  }

  /** Returns a service without GPUs, whose tasks fit on machines that run others. */
  private static Job serviceWithoutGpus(int number) {
    return TestFixtures.job(number, JobKind.SERVICE, 2, 0, "blue", Priority.HIGH, true, false);
  }

  /**
   * Submits services at the beginning of an interruption and cancels them a second later.
   *
   * @return the cancelled services
   */
  static List<Job> cancelStartedServices(SimulatedCluster cluster, int firstNumber) {
    List<Job> cancelled = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Job job = serviceWithoutGpus(firstNumber + i);
      cancelled.add(job);
      cluster.schedule(200 + i * 200L, () -> cluster.submit(job));
      cluster.schedule(1500 + i * 200L, () -> cluster.cancel(job.uid()));
    }
    return cancelled;
  }

  /**
   * A lease proxy renewed the lease under the token that the worker reported, so that a held start
   * was executed more than {@code cancel_s} after its user was told that the job is cancelled.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void heldStartOfACancelledJobIsRejected(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    List<Job> jobs = LeaseProxyTest.runSpreadServices(cluster, 4);
    cluster.interruptZones(INTERRUPTION_MS);
    List<Job> cancelled = cancelStartedServices(cluster, 11);
    cluster.run(INTERRUPTION_MS / 1000.0 + 15);
    assertEquals(List.of(), cluster.checker.violations);
    cancelled.forEach(
        job -> assertEquals(Phase.ABORTED, cluster.checker.finalPhase(job.uid()), job::uid));
    jobs.forEach(job -> assertEquals(4, cluster.checker.runningTasks(job.uid()), job::uid));
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * The interruption ends for a moment, in which the leader adopts the raised tokens, and begins
   * again. A start that is sent with an adopted token must be rejected at the end, too.
   */
  @ParameterizedTest
  @ValueSource(ints = {60, 150, 300, 500, 700, 900, 1200, 1600, 2000, 3000, 5000, 8000})
  void heldStartSentBetweenTwoInterruptionsIsRejected(int gapMs) {
    SimulatedCluster cluster = newCluster(gapMs);
    List<Job> jobs = LeaseProxyTest.runSpreadServices(cluster, 4);
    cluster.interruptZones(20_000);
    cluster.schedule(20_000 + gapMs, () -> cluster.interruptZones(INTERRUPTION_MS));
    cluster.run(19);
    List<Job> cancelled = cancelStartedServices(cluster, 11);
    cluster.schedule(1000, () -> cancelled.addAll(cancelStartedServices(cluster, 21)));
    cluster.schedule(gapMs, () -> cancelled.addAll(cancelStartedServices(cluster, 31)));
    cluster.run((gapMs + INTERRUPTION_MS) / 1000.0 + 20);
    assertEquals(12, cancelled.size());
    assertEquals(List.of(), cluster.checker.violations);
    jobs.addAll(cancelled);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** All proxies, or all nodes, are restarted during the interruption and know no token given. */
  @ParameterizedTest
  @CsvSource({"6000,false", "9000,false", "20000,false", "6000,true", "9000,true", "20000,true"})
  void heldStartIsRejectedAfterARestartOfProxiesOrLeader(int delayMs, boolean isLeaderRestarted) {
    SimulatedCluster cluster = newCluster(delayMs);
    List<Job> jobs = LeaseProxyTest.runSpreadServices(cluster, 4);
    String leaderZone = cluster.zoneOf(cluster.leader());
    cluster.interruptZones(INTERRUPTION_MS);
    List<Job> cancelled = cancelStartedServices(cluster, 11);
    cluster.schedule(
        delayMs,
        () -> {
          for (String node : cluster.nodeNames()) {
            if (isLeaderRestarted || !cluster.zoneOf(node).equals(leaderZone)) {
              cluster.crashNode(node, 2000);
            }
          }
        });
    cluster.run(INTERRUPTION_MS / 1000.0 + 15);
    jobs.addAll(cancelled);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * The proxies run the version before and renew leases under the reported token. The leader, which
   * runs the current one, must not send a start that may be held back until then.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void noStartIsHeldBackWhileProxiesRunTheVersionBefore(long seed) {
    SimulatedCluster cluster = newMixedCluster(seed, "b", "a");
    List<Job> jobs = LeaseProxyTest.runSpreadServices(cluster, 4);
    cluster.interruptZones(INTERRUPTION_MS);
    jobs.addAll(cancelStartedServices(cluster, 11));
    cluster.run(INTERRUPTION_MS / 1000.0 + 15);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * A leader of the version before does not adopt a raised token, and the worker would drop its
   * answers and lose its tasks. Proxies raise none before all nodes run the current version.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void proxiesRaiseNoTokenWhileALeaderOfTheVersionBeforeMayLead(long seed) {
    SimulatedCluster cluster = newMixedCluster(seed, "a", "a");
    List<Job> jobs = LeaseProxyTest.runSpreadServices(cluster, 4);
    Map<String, Long> incarnations = new HashMap<>();
    cluster.workers().stream()
        .filter(worker -> !worker.taskIds().isEmpty())
        .forEach(worker -> incarnations.put(worker.machine.name(), worker.incarnation()));
    long firstToken = cluster.workers().get(0).fencingToken;
    cluster.interruptZones(INTERRUPTION_MS);
    cluster.run(INTERRUPTION_MS / 1000.0 + 15);
    for (FakeWorker worker : cluster.workers()) {
      Long incarnation = incarnations.get(worker.machine.name());
      if (incarnation != null) {
        assertEquals(incarnation, worker.incarnation(), worker.machine.name());
        // The leader raises a token by one for each command without a reply.
        assertTrue(worker.fencingToken - firstToken < 10, "token " + worker.fencingToken);
      }
    }
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * Returns a cluster in which the nodes of one zone run the version before the current one, and
   * which is led by a node of {@code leaderZone}.
   */
  private static SimulatedCluster newMixedCluster(
      long seed, String olderVersionZone, String leaderZone) {
    SimulatedCluster cluster = newCluster(seed);
    cluster.olderVersion = ClusterVersion.CURRENT - 1;
    for (String node : cluster.nodesIn(olderVersionZone)) {
      cluster.olderVersionNodes.add(node);
      cluster.startNode(node);
    }
    cluster.run(5);
    for (int i = 0;
        i < MAX_ELECTIONS && !cluster.zoneOf(cluster.leader()).equals(leaderZone);
        i++) {
      cluster.crashNode(cluster.leader(), 6000);
      cluster.run(12);
    }
    assertEquals(leaderZone, cluster.zoneOf(cluster.leader()));
    return cluster;
  }
}
