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
  static SimulatedCluster older(long seed) {
    SimulatedCluster world =
        new SimulatedCluster(
            seed,
            TestFixtures.withNextLimits(
                TestFixtures.settings("roost-0", TestFixtures.SHORT_LEASES, NOW, 0.2, 160, 3),
                NEXT));
    for (String node : world.all()) {
      world.older.add(node);
      world.boot(node);
    }
    return world;
  }

  /** Ends a node, and has it come back with this version. */
  private static void upgrade(SimulatedCluster world, String node) {
    world.older.remove(node);
    world.crash(node, 3000);
  }

  private static boolean anyPacked(SimulatedCluster world) {
    return world.state.keys(StoreKeys.ALLOC_PREFIX).stream()
        .anyMatch(key -> !(world.state.stored(key) instanceof StoredRecord.Allocation));
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
    SimulatedCluster world = older(31);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 12; i++) {
      Job job = TestFixtures.job(i, i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 1 + i % 4, 1);
      jobs.add(job);
      world.at(2000 + i * 3000L, () -> world.submit(job));
      if (i % 4 == 0) {
        world.at(6000 + i * 3000L, () -> world.abort(job.uid()));
      }
    }
    world.run(15);
    Job early = TestFixtures.gang(50, 4, 1, 4, true);
    for (int i = 0; i < 3; i++) {
      upgrade(world, "roost-" + order.get(i));
      if (i == 1) {
        // A node that is new takes no gang while an old one may lead.
        world.submitAt("roost-" + order.get(0), early);
      }
      world.run(10);
      if (i < 2) {
        assertFalse(anyPacked(world), "an old node could not read it");
        assertFalse(world.checker.wasAccepted(early.uid()));
      }
    }
    world.submit(early);
    jobs.add(early);
    world.run(15);
    assertTrue(world.checker.isDone(early.uid()));
    assertEquals(
        new StoredRecord.StoredVersion(ClusterVersion.CURRENT),
        world.state.stored(StoreKeys.CLUSTER_VERSION));
    assertTrue(anyPacked(world));
    ExpectedOutcome.allServed(world, jobs);
  }

  /** A version that reads the packed form, but not the bitmaps, never finds one. */
  @Test
  void bitmapsWaitUntilEveryNodeReadsThem() {
    SimulatedCluster world = older(34);
    world.olderVersion = ClusterVersion.ARCHIVED_JOBS;
    world.all().forEach(node -> world.crash(node, 100));
    world.run(5);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      Job job = TestFixtures.job(i, JobKind.ARRAY, 6, 1);
      jobs.add(job);
      world.at(i * 5000L, () -> world.submit(job));
    }
    for (String node : world.all()) {
      world.run(8);
      assertFalse(anyBitmap(world), "an old node could not read it");
      upgrade(world, node);
    }
    world.run(20);
    assertTrue(anyBitmap(world));
    ExpectedOutcome.allServed(world, jobs);
  }

  private static boolean anyBitmap(SimulatedCluster world) {
    return world.state.keys(StoreKeys.ALLOC_PREFIX).stream()
        .anyMatch(key -> world.state.stored(key) instanceof StoredRecord.BitmapAllocation);
  }

  /** The gate's proof is stored: nobody has to be asked again when all nodes end. */
  @Test
  void aLaterLeaderNeedsNoProof() {
    SimulatedCluster world = older(32);
    world.run(5);
    world.all().forEach(node -> upgrade(world, node));
    world.run(12);
    assertEquals(
        new StoredRecord.StoredVersion(ClusterVersion.CURRENT),
        world.state.stored(StoreKeys.CLUSTER_VERSION));
    world.all().forEach(node -> world.crash(node, node.equals("roost-1") ? 500 : 60_000));
    world.run(8);
    Job array = TestFixtures.job(2, JobKind.ARRAY, 2, 0);
    world.submitAt("roost-1", array);
    world.run(12);
    assertInstanceOf(
        StoredRecord.BitmapAllocation.class, world.state.stored(StoreKeys.alloc(array.uid())));
    Job gang = TestFixtures.gang(1, 3, 1, 4, true);
    world.submitAt("roost-1", gang);
    world.run(30);
    assertTrue(world.checker.isDone(gang.uid()));
    assertInstanceOf(
        StoredRecord.BitmapAllocation.class, world.state.stored(StoreKeys.alloc(gang.uid())));
    ExpectedOutcome.allServed(world, List.of(gang));
  }

  /** A node that is away may be an old one: nothing but gangs and the packed form waits for it. */
  @Test
  void aMissingNodeKeepsTheGateShut() {
    SimulatedCluster world = older(33);
    world.run(5);
    upgrade(world, "roost-0");
    upgrade(world, "roost-1");
    world.crash("roost-2", 60_000);
    world.run(15);
    Job array = TestFixtures.job(1, JobKind.ARRAY, 4, 1);
    Job gang = TestFixtures.gang(2, 3, 1, 4, true);
    world.submit(array);
    world.submit(gang);
    world.run(25);
    assertTrue(world.checker.isDone(array.uid()));
    assertFalse(world.checker.wasAccepted(gang.uid()));
    assertFalse(anyPacked(world));
    world.run(25);
    assertFalse(world.checker.wasAccepted(gang.uid()), "it came back old");
    upgrade(world, "roost-2");
    world.run(25);
    assertTrue(world.checker.isDone(gang.uid()));
  }

  /** Leadership goes to and fro between the versions while work ends and is cancelled. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void rulesHoldWhileBothVersionsServeUnderTroubles(long seed) {
    SimulatedCluster world = older(seed);
    ExpectedOutcome.allServed(world, play(world, seed));
  }

  /** Plays a random history in which all nodes are upgraded, and tells the jobs. */
  static List<Job> play(SimulatedCluster world, long seed) {
    Random script = new Random(seed * 41);
    world.loss = 0.01;
    world.lateWrites = 0.06;
    world.lostAnswers = 0.06;
    world.lateReports = 0.1;
    world.heartbeatsForNextLeader = 0.1;
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 20; i++) {
      int tasks = 1 + script.nextInt(5);
      boolean gang = i > 14;
      Job job =
          gang
              ? TestFixtures.gang(i, 2 + i % 4, 1, 5, i % 2 == 0)
              : TestFixtures.job(i, i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY, tasks, 1);
      jobs.add(job);
      world.at(gang ? 52_000 + i * 1500L : script.nextInt(60_000), () -> world.submit(job));
      if (i % 4 == 0) {
        world.at(40_000 + script.nextInt(40_000), () -> world.abort(job.uid()));
      }
    }
    for (int i = 0; i < 3; i++) {
      String node = "roost-" + (i + (int) seed) % 3;
      world.at(12_000 + i * 13_000L, () -> upgrade(world, node));
    }
    for (int i = 0; i < 8; i++) {
      int kind = (i + (int) seed) % 4;
      world.at(10_000 + i * 6000L + script.nextInt(4000), () -> trouble(world, kind));
    }
    world.at(
        56_000 + script.nextInt(6000),
        () -> world.state.lowerLimits(NEXT.valueKb(), NEXT.writesPerS(), world.nowMs));
    world.run(95);
    return jobs;
  }

  private static void trouble(SimulatedCluster world, int kind) {
    String leader = world.leader() == null ? "roost-0" : world.leader();
    switch (kind) {
      case 0 -> world.crash(leader, 500);
      case 1 -> world.refuse(leader, 5000);
      case 2 -> {
        world.stateDelayMs = 400;
        world.at(5000, () -> world.stateDelayMs = 0);
      }
      default -> {
        world.state.outage(world.nowMs);
        world.at(6000, () -> world.state.recover(world.nowMs));
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
    SimulatedCluster world = older(34);
    world.cloud.capacity = 60;
    world.run(8);
    Job array = manyMachines(1, 120, 45);
    world.submit(array);
    world.run(22);
    assertInstanceOf(
        StoredRecord.Allocation.class, world.state.stored(StoreKeys.alloc(array.uid())));
    assertTrue(world.checker.running(array.uid()) >= 100, "on machines of their own");
    for (String node : world.all()) {
      upgrade(world, node);
      world.run(6);
    }
    world.at(
        lowerAfterMs,
        () -> world.state.lowerLimits(NEXT.valueKb(), NEXT.writesPerS(), world.nowMs));
    if (crashAfterMs >= 0) {
      world.at(lowerAfterMs + crashAfterMs, () -> world.crash(world.leader(), 3000));
    }
    world.run(40);
    ExpectedOutcome.allServed(world, List.of(array));
    assertEquals(0, world.state.tooLarge, "no write was too large");
  }

  /** While a node is missing the packed form may not be written; the job still runs to its end. */
  @Test
  void aRecordThatIsTooLargeIsWrittenOnceEnoughTasksHaveEnded() {
    SimulatedCluster world = older(34);
    world.cloud.capacity = 60;
    world.run(8);
    Job array = manyMachines(1, 160, 45);
    world.submit(array);
    world.run(22);
    upgrade(world, "roost-0");
    upgrade(world, "roost-1");
    world.crash("roost-2", 300_000);
    world.run(10);
    world.state.lowerLimits(NEXT.valueKb(), NEXT.writesPerS(), world.nowMs);
    // The reservations of the others alone are too large, whatever the order of their ends.
    world.workers().stream().limit(30).forEach(worker -> world.die(worker.machine.name()));
    world.run(110);
    assertTrue(world.state.tooLarge > 0);
    assertTrue(world.state.tooLarge < 60, world.state.tooLarge + " writes for nothing");
    assertTrue(world.committedDone(array));
    assertFalse(anyPacked(world));
  }

  /** Tasks that fill a machine each. */
  private static Job manyMachines(int number, int tasks, double runS) {
    Job template = TestFixtures.job(number, JobKind.ARRAY, tasks, 0);
    return TestFixtures.sized(template, new Resources(8, 0, 20), runS, "c8");
  }

  /**
   * A job whose description is larger than a value is refused for good, one that is stored served.
   */
  @Test
  void aSubmissionThatCannotBeStoredIsRefusedAtOnce() {
    SimulatedCluster world = older(35);
    world.all().forEach(node -> upgrade(world, node));
    world.run(12);
    Job before = withImage(TestFixtures.job(1, JobKind.ARRAY, 1, 1), "x".repeat(2500));
    world.submit(before);
    world.run(3);
    assertTrue(world.checker.wasAccepted(before.uid()));
    world.state.lowerLimits(NEXT.valueKb(), NEXT.writesPerS(), world.nowMs);
    Job after = withImage(TestFixtures.job(2, JobKind.ARRAY, 1, 1), "x".repeat(2500));
    world.submit(after);
    world.run(1);
    assertEquals(1, world.state.tooLarge);
    assertFalse(world.checker.wasAccepted(after.uid()));
    // A repeat reaches nodes that don't lead, too, and is told what is stored.
    world.lookClosely(before.uid());
    world.run(20);
    assertEquals(1, world.state.tooLarge, "it is not tried again");
    ExpectedOutcome.allServed(world, List.of(before));
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
    SimulatedCluster world = older(36);
    world.all().forEach(node -> upgrade(world, node));
    world.run(15);
    String leader = world.leader();
    world.state.lowerLimits(NEXT.valueKb(), NEXT.writesPerS(), world.nowMs);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 150; i++) {
      Job job = TestFixtures.job(i, JobKind.ARRAY, 1, 0);
      jobs.add(job);
      world.submit(job);
      world.run(0.1);
    }
    world.run(40);
    assertEquals(leader, world.leader());
    assertTrue(world.state.overChangeLimit < 20, world.state.overChangeLimit + " refused");
    ExpectedOutcome.allServed(world, jobs);
  }
}
