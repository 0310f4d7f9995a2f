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

/** Nodes of two versions side by side, and limits of the store that fall. */
class RollingUpgradeTest {
  private static final StoreLimits NOW = new StoreLimits(200, 40, 4, 16);
  private static final StoreLimits NEXT = new StoreLimits(200, 18, 2, 16);

  /** Three nodes of the version before. */
  static SimulatedCluster olderVersionCluster(long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed,
            TestFixtures.withNextLimits(
                TestFixtures.settings("roost-0", TestFixtures.SHORT_LEASES, NOW, 0.2, 160, 3),
                NEXT));
    for (String node : cluster.nodeNames()) {
      cluster.olderVersionNodes.add(node);
      cluster.startNode(node);
    }
    return cluster;
  }

  /** Ends a node, and has it come back with this version. */
  private static void upgrade(SimulatedCluster cluster, String node) {
    cluster.olderVersionNodes.remove(node);
    cluster.crashNode(node, 3000);
  }

  private static boolean anyPacked(SimulatedCluster cluster) {
    return cluster.store.keys(StoreKeys.ALLOCATION_PREFIX).stream()
        .anyMatch(key -> !(cluster.store.getAsStored(key) instanceof StoredRecord.Allocation));
  }

  static List<List<Integer>> orders() {
    return List.of(
        List.of(0, 1, 2),
        List.of(0, 2, 1),
        List.of(1, 0, 2),
        List.of(1, 2, 0),
        List.of(2, 0, 1),
        List.of(2, 1, 0));
  }

  /** Whoever leads meanwhile: jobs end, are cancelled and go on, and gangs wait until the last. */
  @ParameterizedTest
  @MethodSource("orders")
  void anUpgradeInAnyOrderLosesNothing(List<Integer> order) {
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
    Job early = TestFixtures.gang(50, 4, 1, 4, true);
    for (int i = 0; i < 3; i++) {
      upgrade(cluster, "roost-" + order.get(i));
      if (i == 1) {
        // A node that is new takes no gang while an old one may lead.
        cluster.submitOnce("roost-" + order.get(0), early);
      }
      cluster.run(10);
      if (i < 2) {
        assertFalse(anyPacked(cluster), "an old node could not read it");
        assertFalse(cluster.checker.wasAccepted(early.uid()));
      }
    }
    cluster.submit(early);
    jobs.add(early);
    cluster.run(15);
    assertTrue(cluster.checker.allTasksCompleted(early.uid()));
    assertEquals(
        new StoredRecord.StoredVersion(ClusterVersion.CURRENT),
        cluster.store.getAsStored(StoreKeys.CLUSTER_VERSION));
    assertTrue(anyPacked(cluster));
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** A version that reads the packed form, but not the bitmaps, never finds one. */
  @Test
  void bitmapsWaitUntilEveryNodeReadsThem() {
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
      assertFalse(anyBitmap(cluster), "an old node could not read it");
      upgrade(cluster, node);
    }
    cluster.run(20);
    assertTrue(anyBitmap(cluster));
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  private static boolean anyBitmap(SimulatedCluster cluster) {
    return cluster.store.keys(StoreKeys.ALLOCATION_PREFIX).stream()
        .anyMatch(key -> cluster.store.getAsStored(key) instanceof StoredRecord.BitmapAllocation);
  }

  /** The gate's proof is stored: nobody has to be asked again when all nodes end. */
  @Test
  void aLaterLeaderNeedsNoProof() {
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

  /** A node that is away may be an old one: nothing but gangs and the packed form waits for it. */
  @Test
  void aMissingNodeKeepsTheGateShut() {
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
    assertFalse(anyPacked(cluster));
    cluster.run(25);
    assertFalse(cluster.checker.wasAccepted(gang.uid()), "it came back old");
    upgrade(cluster, "roost-2");
    cluster.run(25);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
  }

  /** Leadership goes to and fro between the versions while work ends and is cancelled. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void rulesHoldWhileBothVersionsServeUnderTroubles(long seed) {
    SimulatedCluster cluster = olderVersionCluster(seed);
    ExpectedOutcome.assertAllJobsServed(cluster, play(cluster, seed));
  }

  /** Plays a random history in which all nodes are upgraded, and tells the jobs. */
  static List<Job> play(SimulatedCluster cluster, long seed) {
    Random script = new Random(seed * 41);
    cluster.lossProbability = 0.01;
    cluster.lateTransactionProbability = 0.06;
    cluster.lostStoreReplyProbability = 0.06;
    cluster.repeatedHeartbeatProbability = 0.1;
    cluster.nextLeaderHeartbeatProbability = 0.1;
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 20; i++) {
      int tasks = 1 + script.nextInt(5);
      boolean gang = i > 14;
      Job job =
          gang
              ? TestFixtures.gang(i, 2 + i % 4, 1, 5, i % 2 == 0)
              : TestFixtures.job(i, i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY, tasks, 1);
      jobs.add(job);
      cluster.schedule(
          gang ? 52_000 + i * 1500L : script.nextInt(60_000), () -> cluster.submit(job));
      if (i % 4 == 0) {
        cluster.schedule(40_000 + script.nextInt(40_000), () -> cluster.cancel(job.uid()));
      }
    }
    for (int i = 0; i < 3; i++) {
      String node = "roost-" + (i + (int) seed) % 3;
      cluster.schedule(12_000 + i * 13_000L, () -> upgrade(cluster, node));
    }
    for (int i = 0; i < 8; i++) {
      int kind = (i + (int) seed) % 4;
      cluster.schedule(10_000 + i * 6000L + script.nextInt(4000), () -> trouble(cluster, kind));
    }
    cluster.schedule(
        56_000 + script.nextInt(6000),
        () -> cluster.store.lowerLimits(NEXT.valueKb(), NEXT.writesPerS(), cluster.nowMs));
    cluster.run(95);
    return jobs;
  }

  private static void trouble(SimulatedCluster cluster, int kind) {
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
   * Production may leave a record that is larger than the limits to come. Once all nodes are new it
   * is still written when its tasks end, whoever leads when the limits fall.
   */
  @ParameterizedTest
  @CsvSource({"0,-1", "0,0", "0,400", "500,0", "2000,600", "6000,-1", "6000,300"})
  void aRecordThatProductionLeftTooLargeIsStillWritten(int lowerAfterMs, int crashAfterMs) {
    SimulatedCluster cluster = olderVersionCluster(34);
    cluster.cloud.defaultStock = 60;
    cluster.run(8);
    Job array = manyMachines(1, 120, 45);
    cluster.submit(array);
    cluster.run(22);
    assertInstanceOf(
        StoredRecord.Allocation.class,
        cluster.store.getAsStored(StoreKeys.allocation(array.uid())));
    assertTrue(cluster.checker.runningTasks(array.uid()) >= 100, "on machines of their own");
    for (String node : cluster.nodeNames()) {
      upgrade(cluster, node);
      cluster.run(6);
    }
    cluster.schedule(
        lowerAfterMs,
        () -> cluster.store.lowerLimits(NEXT.valueKb(), NEXT.writesPerS(), cluster.nowMs));
    if (crashAfterMs >= 0) {
      cluster.schedule(
          lowerAfterMs + crashAfterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    }
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, List.of(array));
    assertEquals(0, cluster.store.oversizedValueRefusals, "no write was too large");
  }

  /** While a node is missing the packed form may not be written; the job still runs to its end. */
  @Test
  void aRecordThatIsTooLargeIsWrittenOnceEnoughTasksHaveEnded() {
    SimulatedCluster cluster = olderVersionCluster(34);
    cluster.cloud.defaultStock = 60;
    cluster.run(8);
    Job array = manyMachines(1, 160, 45);
    cluster.submit(array);
    cluster.run(22);
    upgrade(cluster, "roost-0");
    upgrade(cluster, "roost-1");
    cluster.crashNode("roost-2", 300_000);
    cluster.run(10);
    cluster.store.lowerLimits(NEXT.valueKb(), NEXT.writesPerS(), cluster.nowMs);
    // The reservations of the others alone are too large, whatever the order of their ends.
    cluster.workers().stream()
        .limit(30)
        .forEach(worker -> cluster.failMachine(worker.machine.name()));
    cluster.run(110);
    assertTrue(cluster.store.oversizedValueRefusals > 0);
    assertTrue(
        cluster.store.oversizedValueRefusals < 60,
        cluster.store.oversizedValueRefusals + " writes for nothing");
    assertTrue(cluster.isDoneInStore(array));
    assertFalse(anyPacked(cluster));
  }

  /** Tasks that fill a machine each. */
  private static Job manyMachines(int number, int tasks, double runS) {
    Job template = TestFixtures.job(number, JobKind.ARRAY, tasks, 0);
    return TestFixtures.withTaskShape(template, new Resources(8, 0, 20), runS, "c8");
  }

  /**
   * A job whose description is larger than a value is refused for good, one that is stored served.
   */
  @Test
  void aSubmissionThatCannotBeStoredIsRefusedAtOnce() {
    SimulatedCluster cluster = olderVersionCluster(35);
    cluster.nodeNames().forEach(node -> upgrade(cluster, node));
    cluster.run(12);
    Job before = withImage(TestFixtures.job(1, JobKind.ARRAY, 1, 1), "x".repeat(2500));
    cluster.submit(before);
    cluster.run(3);
    assertTrue(cluster.checker.wasAccepted(before.uid()));
    cluster.store.lowerLimits(NEXT.valueKb(), NEXT.writesPerS(), cluster.nowMs);
    Job after = withImage(TestFixtures.job(2, JobKind.ARRAY, 1, 1), "x".repeat(2500));
    cluster.submit(after);
    cluster.run(1);
    assertEquals(1, cluster.store.oversizedValueRefusals);
    assertFalse(cluster.checker.wasAccepted(after.uid()));
    // A repeat reaches nodes that don't lead, too, and is told what is stored.
    cluster.queryAndResubmitEverywhere(before.uid());
    cluster.run(20);
    assertEquals(1, cluster.store.oversizedValueRefusals, "it is not tried again");
    ExpectedOutcome.assertAllJobsServed(cluster, List.of(before));
  }

  private static Job withImage(Job template, String image) {
    return TestFixtures.job(
        Integer.parseInt(template.uid().substring(4)),
        template.kind(),
        template.tasks(),
        template.taskResources().gpus(),
        image);
  }

  /** The leader keeps to the lower rate once a change was refused, and loses no term over it. */
  @Test
  void aLowerRateOfChangesStarvesNobody() {
    SimulatedCluster cluster = olderVersionCluster(36);
    cluster.nodeNames().forEach(node -> upgrade(cluster, node));
    cluster.run(15);
    String leader = cluster.leader();
    cluster.store.lowerLimits(NEXT.valueKb(), NEXT.writesPerS(), cluster.nowMs);
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
        cluster.store.changeLimitRefusals < 20, cluster.store.changeLimitRefusals + " refused");
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }
}
