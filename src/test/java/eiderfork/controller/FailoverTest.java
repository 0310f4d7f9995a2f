package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Failovers that coincide with another fault or with cancellations. */
class FailoverTest {
  private static LongStream seeds() {
    return LongStream.rangeClosed(1, 8);
  }

  private static List<Job> services(SimulatedCluster cluster, int count) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      jobs.add(
          TestFixtures.job(
              i, JobKind.SERVICE, 2, 1, i % 2 == 0 ? "red" : "blue", Priority.HIGH, false, false));
    }
    jobs.forEach(cluster::submit);
    return jobs;
  }

  private static void crashLeader(SimulatedCluster cluster, long durationMs) {
    if (cluster.leader() != null) {
      cluster.crashNode(cluster.leader(), durationMs);
    }
  }

  /**
   * The leader crashes every 12 s for two minutes; with even seeds the store also has an outage.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void tenFailoversInTwoMinutesLoseNoJob(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    List<Job> jobs = services(cluster, 5);
    for (int i = 0; i < 12; i++) {
      Job job = TestFixtures.job(10 + i, JobKind.ARRAY, 3, 1);
      jobs.add(job);
      cluster.schedule(5000 + i * 9000L, () -> cluster.submit(job));
      if (i % 3 == 0) {
        cluster.schedule(5600 + i * 9000L + 100 * seed, () -> cluster.cancel(job.uid()));
      }
    }
    cluster.run(15);
    for (int i = 0; i < 10; i++) {
      cluster.schedule(i * 12_000L, () -> crashLeader(cluster, 200 + 400 * seed));
    }
    if (seed % 2 == 0) {
      cluster.schedule(30_000, () -> cluster.store.startOutage(cluster.nowMs));
      cluster.schedule(44_000, () -> cluster.store.endOutage(cluster.nowMs));
    }
    cluster.run(130);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * Leadership changes twice, then all controllers crash within 100 ms and one restarts after 0.1
   * to 20 s.
   */
  @ParameterizedTest
  @ValueSource(ints = {100, 300, 600, 900, 1500, 3000, 8000, 13_000, 20_000})
  void jobsAreServedAfterOneOfThreeCrashedControllersRestarts(int downtimeMs) {
    SimulatedCluster cluster = new SimulatedCluster(3);
    List<Job> jobs = services(cluster, 5);
    Job cancelled = TestFixtures.job(20, JobKind.SERVICE, 3, 1);
    jobs.add(cancelled);
    cluster.submit(cancelled);
    cluster.run(25);
    crashLeader(cluster, 900);
    cluster.run(6);
    crashLeader(cluster, 900);
    cluster.run(5);
    cluster.schedule(50, () -> cluster.cancel(cancelled.uid()));
    cluster.crashNode("roost-0", downtimeMs);
    cluster.schedule(30, () -> cluster.crashNode("roost-1", 30_000));
    cluster.schedule(90, () -> cluster.crashNode("roost-2", 30_000));
    cluster.run(50);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Jobs are cancelled up to 4.2 s after the leader has crashed or been suspended. */
  @ParameterizedTest
  @ValueSource(ints = {0, 100, 500, 1500, 2500, 3000, 3200, 3300, 3400, 3500, 3600, 3800, 4200})
  void cancellationsDuringAFailoverAreExecuted(int delayMs) {
    for (boolean isSuspended : new boolean[] {false, true}) {
      SimulatedCluster cluster = new SimulatedCluster(2);
      List<Job> jobs = services(cluster, 5);
      cluster.run(25);
      Job starting = TestFixtures.job(30, JobKind.ARRAY, 6, 1);
      jobs.add(starting);
      cluster.submit(starting);
      String leader = cluster.leader();
      if (isSuspended) {
        cluster.freezeNode(leader, 7000);
      } else {
        cluster.crashNode(leader, 7000);
      }
      for (Job job : List.copyOf(jobs).subList(2, 6)) {
        cluster.schedule(delayMs, () -> cluster.cancel(job.uid()));
      }
      cluster.run(40);
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    }
  }

  /**
   * The leader crashes while more than half of the workers receive no messages from controllers, or
   * while their own messages to controllers are lost.
   */
  @ParameterizedTest
  @ValueSource(ints = {2000, 6000, 9000, 11_000, 14_000, 25_000})
  void jobsAreServedWhenWorkersCannotCommunicateWithTheNewLeader(int durationMs) {
    for (boolean dropsInbound : new boolean[] {true, false}) {
      SimulatedCluster cluster = new SimulatedCluster(4);
      List<Job> jobs = services(cluster, 5);
      cluster.run(25);
      List<FakeWorker> workers = cluster.workers();
      for (FakeWorker worker : workers.subList(0, workers.size() / 2 + 1)) {
        if (dropsInbound) {
          cluster.cutLinksTo(worker.machine.name(), durationMs);
        } else {
          cluster.cutLinksFrom(worker.machine.name(), durationMs);
        }
      }
      cluster.run(0.5);
      crashLeader(cluster, 3000);
      cluster.schedule(4500, () -> cluster.cancel(jobs.get(0).uid()));
      cluster.run(60);
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    }
  }

  /**
   * A former leader, isolated from the store and its peers, goes on renewing the leases of workers
   * that its successor cannot reach. Their tasks must not start elsewhere while it may do so.
   */
  @ParameterizedTest
  @ValueSource(ints = {12_000, 18_000, 25_000, 40_000})
  void leasesThatAFormerLeaderRenewsAreNotCountedAsExpired(int durationMs) {
    SimulatedCluster cluster = new SimulatedCluster(4);
    List<Job> jobs = services(cluster, 5);
    cluster.run(25);
    String formerLeader = cluster.leader();
    cluster.isolateNode(formerLeader, durationMs);
    for (FakeWorker worker : cluster.workers()) {
      for (String node : cluster.nodeNames()) {
        if (!node.equals(formerLeader)) {
          cluster.cutLink(node + ">" + worker.machine.name(), durationMs);
          cluster.cutLink(worker.machine.name() + ">" + node, durationMs);
        }
      }
    }
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Messages from workers to controllers are lost, while direct commands still reach them. */
  @Test
  void tasksOfWorkersThatReachNoControllerDoNotStartTwice() {
    SimulatedCluster cluster = new SimulatedCluster(4);
    List<Job> jobs = services(cluster, 5);
    cluster.run(25);
    cluster.workers().forEach(worker -> cluster.cutLinksFrom(worker.machine.name(), 25_000));
    cluster.schedule(3000, () -> cluster.cancel(jobs.get(0).uid()));
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Tasks of one job end at different times, before and after failovers. */
  @ParameterizedTest
  @ValueSource(ints = {0, 200, 500, 900, 1500, 2200, 3000})
  void tasksOfOneJobMayEndBeforeAndAfterAFailover(int delayMs) {
    SimulatedCluster cluster = new SimulatedCluster(6);
    cluster.cloud.defaultStock = 1;
    cluster.cloud.stockByKind.put(new MachineKind("g4", "b", false), 0);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      jobs.add(TestFixtures.job(i, JobKind.ARRAY, 3, 2));
    }
    jobs.forEach(cluster::submit);
    cluster.run(16);
    cluster.schedule(delayMs, () -> crashLeader(cluster, 2000));
    cluster.schedule(9000 + delayMs, () -> crashLeader(cluster, 2000));
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** A zone with its workers and one controller is isolated, in most cases longer than a lease. */
  @ParameterizedTest
  @ValueSource(ints = {5000, 12_000, 25_000, 40_000})
  void jobsAreServedAfterAZoneWasIsolated(int durationMs) {
    for (String insideNode : List.of("roost-0", "roost-1", "roost-2")) {
      SimulatedCluster cluster = new SimulatedCluster(5);
      List<Job> jobs = services(cluster, 6);
      Job spread = TestFixtures.job(20, JobKind.SERVICE, 4, 1, "blue", Priority.HIGH, true, false);
      jobs.add(spread);
      cluster.submit(spread);
      cluster.run(25);
      cluster.isolateZone("b", insideNode, durationMs);
      cluster.schedule(1000, () -> cluster.cancel(jobs.get(0).uid()));
      cluster.run(60);
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    }
  }

  /** Services and arrays that are bound to one zone lose up to four machines, and the leader. */
  @ParameterizedTest
  @MethodSource("seeds")
  void jobsBoundToOneZoneRecoverFromMachineFailures(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      jobs.add(
          zoneBoundJob(i, i % 2 == 0 ? JobKind.ARRAY : JobKind.SERVICE, 4, i > 4 ? "b" : null));
    }
    jobs.forEach(cluster::submit);
    cluster.run(14);
    for (int i = 0; i < 4; i++) {
      cluster.schedule(
          i * 3000L,
          () -> {
            List<FakeWorker> workers = cluster.workers();
            if (workers.size() > 1) {
              cluster.failMachine(
                  workers.get(cluster.random.nextInt(workers.size())).machine.name());
            }
          });
    }
    cluster.schedule(5000, () -> crashLeader(cluster, 2000));
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  private static Job zoneBoundJob(int number, JobKind kind, int tasks, String zone) {
    return new Job(
        "run-%06d".formatted(number),
        "bound",
        "blue",
        kind,
        Priority.HIGH,
        tasks,
        new Resources(1, 1, 4),
        ImmutableSet.of("g4"),
        zone,
        true,
        false,
        false,
        "img",
        1,
        kind == JobKind.SERVICE ? 0 : 12,
        0,
        0,
        null);
  }

  /**
   * The store answers slowly, refuses the leader and then has an outage, while users cancel and
   * query jobs.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void jobsAreServedWhileTheStoreIsSlowAndThenRefusesTheLeader(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    List<Job> jobs = services(cluster, 6);
    cluster.run(25);
    cluster.storeDelayMs = 400;
    cluster.setProbesAfterNews(true);
    cluster.schedule(3000, () -> cluster.cancel(jobs.get(0).uid()));
    cluster.schedule(6000, () -> cluster.refuseStoreRequests(cluster.leader(), 9000));
    cluster.schedule(6000 + 300 * seed, () -> cluster.cancel(jobs.get(1).uid()));
    cluster.schedule(8000, () -> cluster.store.startOutage(cluster.nowMs));
    cluster.schedule(43_000, () -> cluster.store.endOutage(cluster.nowMs));
    cluster.run(60);
    cluster.storeDelayMs = 0;
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    assertTrue(cluster.checker.startCount >= 12);
    assertEquals(0, cluster.checker.runningTasks(jobs.get(1).uid()));
  }
}
