package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.config.Settings.StoreLimits;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.message.StoreKeys;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests clusters whose nodes run two versions, and a store whose limits are lowered. */
class RollingUpgradeTest {
  private static final StoreLimits CURRENT_LIMITS = new StoreLimits(200, 40, 4, 16);
  private static final StoreLimits NEXT_LIMITS = new StoreLimits(200, 18, 2, 16);

  /** Returns a cluster of three nodes that run the older version. */
  static SimulatedCluster olderVersionCluster(long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed,
            TestFixtures.withNextLimits(
                TestFixtures.settings(
                    "roost-0", TestFixtures.SHORT_LEASES, CURRENT_LIMITS, 0.2, 160, 3),
                NEXT_LIMITS));
    for (String node : cluster.nodeNames()) {
      cluster.olderVersionNodes.add(node);
      cluster.startNode(node);
    }
    return cluster;
  }

  /** Crashes a node and restarts it with the current version. */
  private static void upgrade(SimulatedCluster cluster, String node) {
    cluster.olderVersionNodes.remove(node);
    cluster.crashNode(node, 3000);
  }

  /**
   * Returns whether an allocation is stored in the packed or the bitmap form, which the older
   * version can't read.
   */
  private static boolean hasCompactAllocation(SimulatedCluster cluster) {
    return cluster.store.keys(StoreKeys.ALLOCATION_PREFIX).stream()
        .anyMatch(key -> !(cluster.store.getAsStored(key) instanceof StoredRecord.Allocation));
  }

  static List<List<Integer>> upgradeOrders() {
    return List.of(
        List.of(0, 1, 2),
        List.of(0, 2, 1),
        List.of(1, 0, 2),
        List.of(1, 2, 0),
        List.of(2, 0, 1),
        List.of(2, 1, 0));
  }

  /**
   * Upgrades the nodes one by one in each order, so that nodes of either version may lead
   * meanwhile. Jobs run on, end and are cancelled; gangs are accepted, and packed allocations
   * written, only after the last node is upgraded.
   */
  @ParameterizedTest
  @MethodSource("upgradeOrders")
  void rollingUpgradeInAnyOrderLosesNoJob(List<Integer> order) {
    SimulatedCluster cluster = olderVersionCluster(31);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 12; i++) {
      Job job = TestFixtures.job(i, i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 1 + i % 4, 1);
      jobs.add(job);
      cluster.schedule(2000 + i * 3000L, () -> cluster.submit(job));
      if (i % 4 == 0) {
        cluster.schedule(6000 + i * 3000L, () -> cluster.cancel(job.uid()));
      }
    }
    cluster.run(15);
    Job gang = TestFixtures.gang(50, 4, 1, 4, true);
    for (int i = 0; i < 3; i++) {
      upgrade(cluster, "roost-" + order.get(i));
      if (i == 1) {
        // An upgraded node accepts no gang while a node of the older version may lead.
        cluster.submitOnce("roost-" + order.get(0), gang);
      }
      cluster.run(10);
      if (i < 2) {
        assertFalse(
            hasCompactAllocation(cluster), "allocation stored that the older version can't read");
        assertFalse(cluster.checker.wasAccepted(gang.uid()));
      }
    }
    cluster.submit(gang);
    jobs.add(gang);
    cluster.run(15);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertEquals(
        new StoredRecord.StoredVersion(ClusterVersion.CURRENT),
        cluster.store.getAsStored(StoreKeys.CLUSTER_VERSION));
    assertTrue(hasCompactAllocation(cluster));
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * The older version of this test reads packed allocations but not bitmap ones, so none may be
   * stored before the last node is upgraded.
   */
  @Test
  void bitmapAllocationsAreNotWrittenBeforeEveryNodeReadsThem() {
    SimulatedCluster cluster = olderVersionCluster(34);
    cluster.olderVersion = ClusterVersion.ARCHIVED_JOBS;
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 100));
    cluster.run(5);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      Job job = TestFixtures.job(i, JobKind.ARRAY, 6, 1);
      jobs.add(job);
      cluster.schedule(i * 5000L, () -> cluster.submit(job));
    }
    for (String node : cluster.nodeNames()) {
      cluster.run(8);
      assertFalse(hasBitmapAllocation(cluster), "bitmap stored that the older version can't read");
      upgrade(cluster, node);
    }
    cluster.run(20);
    assertTrue(hasBitmapAllocation(cluster));
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  private static boolean hasBitmapAllocation(SimulatedCluster cluster) {
    return cluster.store.keys(StoreKeys.ALLOCATION_PREFIX).stream()
        .anyMatch(key -> cluster.store.getAsStored(key) instanceof StoredRecord.BitmapAllocation);
  }

  /**
   * The first leader that knows all nodes to run the current version stores that version. After all
   * nodes have crashed, a node that restarts alone uses it without another proof from its peers.
   */
  @Test
  void laterLeaderUsesTheStoredVersionWithoutItsPeers() {
    SimulatedCluster cluster = olderVersionCluster(32);
    cluster.run(5);
    cluster.nodeNames().forEach(node -> upgrade(cluster, node));
    cluster.run(12);
    assertEquals(
        new StoredRecord.StoredVersion(ClusterVersion.CURRENT),
        cluster.store.getAsStored(StoreKeys.CLUSTER_VERSION));
    cluster
        .nodeNames()
        .forEach(node -> cluster.crashNode(node, node.equals("roost-1") ? 500 : 60_000));
    cluster.run(8);
    Job array = TestFixtures.job(2, JobKind.ARRAY, 2, 0);
    cluster.submitOnce("roost-1", array);
    cluster.run(12);
    assertInstanceOf(
        StoredRecord.BitmapAllocation.class,
        cluster.store.getAsStored(StoreKeys.allocation(array.uid())));
    Job gang = TestFixtures.gang(1, 3, 1, 4, true);
    cluster.submitOnce("roost-1", gang);
    cluster.run(30);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertInstanceOf(
        StoredRecord.BitmapAllocation.class,
        cluster.store.getAsStored(StoreKeys.allocation(gang.uid())));
    ExpectedOutcome.assertAllJobsServed(cluster, List.of(gang));
  }

  /**
   * A missing node may still run the older version. Until it has returned with the current one,
   * gangs are not accepted and packed allocations not written; everything else goes on.
   */
  @Test
  void onlyGangsAndPackedAllocationsWaitForAMissingNode() {
    SimulatedCluster cluster = olderVersionCluster(33);
    cluster.run(5);
    upgrade(cluster, "roost-0");
    upgrade(cluster, "roost-1");
    cluster.crashNode("roost-2", 60_000);
    cluster.run(15);
    Job array = TestFixtures.job(1, JobKind.ARRAY, 4, 1);
    Job gang = TestFixtures.gang(2, 3, 1, 4, true);
    cluster.submit(array);
    cluster.submit(gang);
    cluster.run(25);
    assertTrue(cluster.checker.allTasksCompleted(array.uid()));
    assertFalse(cluster.checker.wasAccepted(gang.uid()));
    assertFalse(hasCompactAllocation(cluster));
    cluster.run(25);
    assertFalse(
        cluster.checker.wasAccepted(gang.uid()),
        "gang accepted while a node runs the older version");
    upgrade(cluster, "roost-2");
    cluster.run(25);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
  }

  /**
   * Leadership changes between nodes of both versions under random faults, while jobs end and are
   * cancelled.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void rulesHoldWhileBothVersionsServeUnderFaults(long seed) {
    SimulatedCluster cluster = olderVersionCluster(seed);
    ExpectedOutcome.assertAllJobsServed(cluster, play(cluster, seed));
  }

  /**
   * Plays a random history in which all nodes are upgraded and the limits of the store are lowered.
   *
   * @return the jobs that were submitted
   */
  static List<Job> play(SimulatedCluster cluster, long seed) {
    Random random = new Random(seed * 41);
    cluster.lossProbability = 0.01;
    cluster.lateTransactionProbability = 0.06;
    cluster.lostStoreReplyProbability = 0.06;
    cluster.repeatedHeartbeatProbability = 0.1;
    cluster.nextLeaderHeartbeatProbability = 0.1;
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 20; i++) {
      int tasks = 1 + random.nextInt(5);
      boolean gang = i > 14;
      Job job =
          gang
              ? TestFixtures.gang(i, 2 + i % 4, 1, 5, i % 2 == 0)
              : TestFixtures.job(i, i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY, tasks, 1);
      jobs.add(job);
      cluster.schedule(
          gang ? 52_000 + i * 1500L : random.nextInt(60_000), () -> cluster.submit(job));
      if (i % 4 == 0) {
        cluster.schedule(40_000 + random.nextInt(40_000), () -> cluster.cancel(job.uid()));
      }
    }
    for (int i = 0; i < 3; i++) {
      String node = "roost-" + (i + (int) seed) % 3;
      cluster.schedule(12_000 + i * 13_000L, () -> upgrade(cluster, node));
    }
    for (int i = 0; i < 8; i++) {
      int kind = (i + (int) seed) % 4;
      cluster.schedule(10_000 + i * 6000L + random.nextInt(4000), () -> injectFault(cluster, kind));
    }
    cluster.schedule(
        56_000 + random.nextInt(6000),
        () ->
            cluster.store.lowerLimits(
                NEXT_LIMITS.valueKb(), NEXT_LIMITS.writesPerS(), cluster.nowMs));
    cluster.run(95);
    return jobs;
  }

  private static void injectFault(SimulatedCluster cluster, int kind) {
    String leader = cluster.leader() == null ? "roost-0" : cluster.leader();
    switch (kind) {
      case 0 -> cluster.crashNode(leader, 500);
      case 1 -> cluster.refuseStoreRequests(leader, 5000);
      case 2 -> {
        cluster.storeDelayMs = 400;
        cluster.schedule(5000, () -> cluster.storeDelayMs = 0);
      }
      default -> {
        cluster.store.startOutage(cluster.nowMs);
        cluster.schedule(6000, () -> cluster.store.endOutage(cluster.nowMs));
      }
    }
  }

  /**
   * The older version in production may have stored an allocation that is larger than the store's
   * next value limit. Once all nodes run the current version, it can still be written when its
   * tasks end, whichever node leads when the limits are lowered.
   */
  @ParameterizedTest
  @CsvSource({"0,-1", "0,0", "0,400", "500,0", "2000,600", "6000,-1", "6000,300"})
  void allocationTooLargeForTheNextLimitsIsStillWritten(
      int limitsLoweredAfterMs, int crashAfterMs) {
    SimulatedCluster cluster = olderVersionCluster(34);
    cluster.cloud.defaultStock = 60;
    cluster.run(8);
    Job array = arrayOfMachineSizedTasks(1, 120, 45);
    cluster.submit(array);
    cluster.run(22);
    assertInstanceOf(
        StoredRecord.Allocation.class,
        cluster.store.getAsStored(StoreKeys.allocation(array.uid())));
    assertTrue(cluster.checker.runningTasks(array.uid()) >= 100, "fewer than 100 tasks run");
    for (String node : cluster.nodeNames()) {
      upgrade(cluster, node);
      cluster.run(6);
    }
    cluster.schedule(
        limitsLoweredAfterMs,
        () ->
            cluster.store.lowerLimits(
                NEXT_LIMITS.valueKb(), NEXT_LIMITS.writesPerS(), cluster.nowMs));
    if (crashAfterMs >= 0) {
      cluster.schedule(
          limitsLoweredAfterMs + crashAfterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    }
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, List.of(array));
    assertEquals(0, cluster.store.oversizedValueRefusals, "writes refused as too large");
  }

  /**
   * While a node is missing, the packed form may not be written, and an allocation above the
   * lowered value limit can't be stored. It is written once enough tasks have ended, after few
   * refused writes, and the job still completes.
   */
  @Test
  void oversizedAllocationIsWrittenOnceEnoughTasksHaveEnded() {
    SimulatedCluster cluster = olderVersionCluster(34);
    cluster.cloud.defaultStock = 60;
    cluster.run(8);
    Job array = arrayOfMachineSizedTasks(1, 160, 45);
    cluster.submit(array);
    cluster.run(22);
    upgrade(cluster, "roost-0");
    upgrade(cluster, "roost-1");
    cluster.crashNode("roost-2", 300_000);
    cluster.run(10);
    cluster.store.lowerLimits(NEXT_LIMITS.valueKb(), NEXT_LIMITS.writesPerS(), cluster.nowMs);
    // The reservations on the other machines alone exceed the limit, in whatever order their tasks
    // end.
    cluster.workers().stream()
        .limit(30)
        .forEach(worker -> cluster.failMachine(worker.machine.name()));
    cluster.run(110);
    assertTrue(cluster.store.oversizedValueRefusals > 0);
    assertTrue(
        cluster.store.oversizedValueRefusals < 60,
        cluster.store.oversizedValueRefusals + " writes refused as too large");
    assertTrue(cluster.isDoneInStore(array));
    assertFalse(hasCompactAllocation(cluster));
  }

  /** Returns an array whose tasks fill a machine each. */
  private static Job arrayOfMachineSizedTasks(int number, int tasks, double runS) {
    Job template = TestFixtures.job(number, JobKind.ARRAY, tasks, 0);
    return TestFixtures.withTaskShape(template, new Resources(8, 0, 20), runS, "c8");
  }

  /**
   * After the limits are lowered, a job spec above the value limit is refused permanently, while a
   * spec of the same size that was stored before still runs.
   */
  @Test
  void submissionThatCannotBeStoredIsRefusedAtOnce() {
    SimulatedCluster cluster = olderVersionCluster(35);
    cluster.nodeNames().forEach(node -> upgrade(cluster, node));
    cluster.run(12);
    Job storedJob = withImage(TestFixtures.job(1, JobKind.ARRAY, 1, 1), "x".repeat(2500));
    cluster.submit(storedJob);
    cluster.run(3);
    assertTrue(cluster.checker.wasAccepted(storedJob.uid()));
    cluster.store.lowerLimits(NEXT_LIMITS.valueKb(), NEXT_LIMITS.writesPerS(), cluster.nowMs);
    Job oversizedJob = withImage(TestFixtures.job(2, JobKind.ARRAY, 1, 1), "x".repeat(2500));
    cluster.submit(oversizedJob);
    cluster.run(1);
    assertEquals(1, cluster.store.oversizedValueRefusals);
    assertFalse(cluster.checker.wasAccepted(oversizedJob.uid()));
    // Resubmissions also reach nodes that don't lead, and are answered from what is stored.
    cluster.queryAndResubmitEverywhere(storedJob.uid());
    cluster.run(20);
    assertEquals(
        1, cluster.store.oversizedValueRefusals, "a job spec was refused as too large again");
    ExpectedOutcome.assertAllJobsServed(cluster, List.of(storedJob));
  }

  private static Job withImage(Job template, String image) {
    return TestFixtures.job(
        Integer.parseInt(template.uid().substring(4)),
        template.kind(),
        template.tasks(),
        template.taskResources().gpus(),
        image);
  }

  /**
   * Once a write was refused, the leader keeps to the lower rate. It does not lose its leadership
   * over that, and all jobs are still served.
   */
  @Test
  void leaderAdaptsToALowerWriteRate() {
    SimulatedCluster cluster = olderVersionCluster(36);
    cluster.nodeNames().forEach(node -> upgrade(cluster, node));
    cluster.run(15);
    String leader = cluster.leader();
    cluster.store.lowerLimits(NEXT_LIMITS.valueKb(), NEXT_LIMITS.writesPerS(), cluster.nowMs);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 150; i++) {
      Job job = TestFixtures.job(i, JobKind.ARRAY, 1, 0);
      jobs.add(job);
      cluster.submit(job);
      cluster.run(0.1);
    }
    cluster.run(40);
    assertEquals(leader, cluster.leader());
    assertTrue(
        cluster.store.changeLimitRefusals < 20,
        cluster.store.changeLimitRefusals + " writes refused over the rate limit");
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }
}
