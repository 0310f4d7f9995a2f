package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.config.Settings;
import eiderfork.controller.message.StoreKeys;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a standby takes over with its replica while further faults occur. */
class StandbyFailoverTest {
  private static SimulatedCluster newCluster(long seed) {
    return newCluster(seed, 3, 1);
  }

  private static SimulatedCluster newCluster(long seed, int nodes, int standbys) {
    Settings settings = TestFixtures.withStandbys(TestFixtures.settings("roost-0"), standbys);
    return new SimulatedCluster(seed, settings, nodes);
  }

  private static LongStream seeds() {
    return LongStream.rangeClosed(1, 8);
  }

  /**
   * Returns the seeds of the random histories; {@code -Dhistories.from=... -Dhistories.to=...} sets
   * others.
   */
  private static LongStream historySeeds() {
    return LongStream.rangeClosed(
        Long.getLong("histories.from", 1), Long.getLong("histories.to", 8));
  }

  /** Submits services, an array and a gang, the later ones while the first are starting. */
  private static List<Job> submitRollout(SimulatedCluster cluster) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 8; i++) {
      String team = i % 2 == 0 ? "red" : "blue";
      jobs.add(TestFixtures.job(i, JobKind.SERVICE, 2, 1, team, Priority.HIGH, false, false));
    }
    jobs.add(TestFixtures.job(20, JobKind.ARRAY, 5, 1));
    jobs.add(TestFixtures.gang(21, 3, 1, 6, false));
    for (int i = 0; i < jobs.size(); i++) {
      Job job = jobs.get(i);
      cluster.schedule(i * 150L, () -> cluster.submit(job));
    }
    return jobs;
  }

  /** Returns the name of a running standby, or null. */
  private static String findStandby(SimulatedCluster cluster) {
    return cluster.controllers.entrySet().stream()
        .filter(node -> node.getValue().isStandby())
        .map(java.util.Map.Entry::getKey)
        .findFirst()
        .orElse(null);
  }

  private static Controller leaderController(SimulatedCluster cluster) {
    return cluster.controllers.get(cluster.leader());
  }

  @Test
  void standbyTakesOverFromItsReplica() {
    SimulatedCluster cluster = newCluster(1);
    List<Job> jobs = submitRollout(cluster);
    cluster.run(30);
    String standby = findStandby(cluster);
    cluster.crashNode(cluster.leader(), 60_000);
    cluster.run(6);
    assertEquals(standby, cluster.leader());
    assertTrue(leaderController(cluster).recoveredFromReplica());
    cluster.run(10);
    assertTrue(findStandby(cluster) != null, "the remaining node has not become a standby");
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @Test
  void noNodeIsAStandbyUnlessConfigured() {
    SimulatedCluster cluster = newCluster(1, 3, 0);
    List<Job> jobs = submitRollout(cluster);
    cluster.run(30);
    assertEquals(null, findStandby(cluster));
    cluster.crashNode(cluster.leader(), 60_000);
    cluster.run(6);
    assertFalse(leaderController(cluster).recoveredFromReplica());
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * The leader crashes at each write of a scheduling round, while the replica is up to date, one
   * placement behind or far behind.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 150, 200, 300, 400, 500, 700, 900, 1100, 1300, 1600, 2000, 3000})
  void leaderCrashesDuringARollout(int afterMs) {
    for (long storeDelayMs : new long[] {0, 300}) {
      SimulatedCluster cluster = newCluster(2);
      cluster.run(20);
      List<Job> jobs = submitRollout(cluster);
      cluster.storeDelayMs = storeDelayMs;
      cluster.run(afterMs / 1000.0);
      cluster.crashNode(cluster.leader(), 20_000);
      cluster.run(8);
      cluster.storeDelayMs = 0;
      cluster.run(30);
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    }
  }

  /**
   * The crashed leader has stored intents to rent and return machines, and lost the cloud's
   * replies. The standby settles the intents that it finds in its replica.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 200, 500, 1000, 2000})
  void scaleOutAndScaleInIntentsInTheReplicaAreSettled(int afterMs) {
    SimulatedCluster cluster = newCluster(12);
    cluster.run(20);
    List<Job> jobs = submitRollout(cluster);
    cluster.run(2);
    cluster.cutLink("cloud>" + cluster.leader(), 10_000);
    cluster.run(afterMs / 1000.0);
    crashLeader(cluster, 20_000);
    cluster.run(8);
    assertTrue(leaderController(cluster).recoveredFromReplica());
    jobs.subList(0, 4).forEach(job -> cluster.cancel(job.uid()));
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    assertEquals(
        List.of(), cluster.store.keys(StoreKeys.SCALE_OUT_INTENT_PREFIX), "unsettled rent intents");
  }

  /**
   * The standby's watches deliver nothing for a while. What was written meanwhile is read when the
   * replica is proved complete, before the standby leads from it. It then keeps its term, so the
   * state that it recovered was right.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 8})
  void replicaFarBehindIsBroughtUpToDate(int silentWatchesS) {
    SimulatedCluster cluster = newCluster(13);
    cluster.run(20);
    String standby = findStandby(cluster);
    cluster.storeAccess.nodesWithSilentWatches.add(standby);
    List<Job> jobs = submitRollout(cluster);
    cluster.run(silentWatchesS);
    jobs.subList(0, 2).forEach(job -> cluster.cancel(job.uid()));
    cluster.run(1);
    crashLeader(cluster, 20_000);
    cluster.run(6);
    assertEquals(standby, cluster.leader());
    assertTrue(leaderController(cluster).recoveredFromReplica());
    var term = cluster.store.get(StoreKeys.TERM);
    cluster.storeAccess.nodesWithSilentWatches.clear();
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    assertEquals(
        term, cluster.store.get(StoreKeys.TERM), "the term changed: the recovered state was wrong");
  }

  /**
   * Replies to writes of reservations are lost, or the writes are executed late, when the standby
   * already leads.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void reservationsAreExecutedLateOrLoseTheirReplies(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    cluster.run(15);
    List<Job> jobs = submitRollout(cluster);
    cluster.lateTransactionProbability = seed % 2 == 0 ? 0.4 : 0;
    cluster.lostStoreReplyProbability = seed % 2 == 0 ? 0 : 0.4;
    cluster.schedule(800 + 150 * seed, () -> crashLeader(cluster, 6000));
    cluster.run(12);
    cluster.lateTransactionProbability = 0;
    cluster.lostStoreReplyProbability = 0;
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  private static void crashLeader(SimulatedCluster cluster, long durationMs) {
    if (cluster.leader() != null) {
      cluster.crashNode(cluster.leader(), durationMs);
    }
  }

  /** Responses to watches are lost, delayed and duplicated, as all other messages are. */
  @ParameterizedTest
  @MethodSource("seeds")
  void watchResponsesAreLostDelayedAndDuplicated(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    cluster.lossProbability = 0.1;
    cluster.delayProbability = 0.1;
    cluster.maxDelayMs = 3000;
    cluster.duplicateProbability = 0.2;
    List<Job> jobs = submitRollout(cluster);
    for (int i = 0; i < 4; i++) {
      cluster.schedule(15_000 + i * 9000L + 300 * seed, () -> crashLeader(cluster, 3000));
    }
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @ParameterizedTest
  @ValueSource(ints = {-500, 0, 500, 3000, 3400, 3800})
  void storeIsUnavailableDuringTheFailover(int afterMs) {
    SimulatedCluster cluster = newCluster(3);
    List<Job> jobs = submitRollout(cluster);
    cluster.run(25);
    cluster.schedule(500, () -> crashLeader(cluster, 30_000));
    cluster.schedule(500 + afterMs, () -> cluster.store.startOutage(cluster.nowMs));
    cluster.schedule(9000, () -> cluster.store.endOutage(cluster.nowMs));
    cluster.run(45);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 2000, 3300, 4000})
  void storeRefusesOnlyTheStandby(int afterMs) {
    SimulatedCluster cluster = newCluster(4);
    List<Job> jobs = submitRollout(cluster);
    cluster.run(25);
    String standby = findStandby(cluster);
    cluster.schedule(afterMs, () -> cluster.refuseStoreRequests(standby, 15_000));
    crashLeader(cluster, 20_000);
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @Test
  void oneOfTwoStandbysLeads() {
    for (long seed = 1; seed <= 6; seed++) {
      SimulatedCluster cluster = newCluster(seed, 5, 2);
      List<Job> jobs = submitRollout(cluster);
      cluster.run(25);
      long standbyCount =
          cluster.controllers.values().stream().filter(Controller::isStandby).count();
      assertEquals(2, standbyCount);
      crashLeader(cluster, 20_000);
      cluster.run(8);
      assertTrue(leaderController(cluster).recoveredFromReplica());
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    }
  }

  /** The standby crashes while it waits, is elected, catches up, or right after. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1000, 3000, 3300, 3350, 3400, 3450, 3500, 3600, 3800, 4500})
  void standbyCrashesInEachPhaseOfTheFailover(int afterMs) {
    SimulatedCluster cluster = newCluster(5);
    List<Job> jobs = submitRollout(cluster);
    cluster.run(25);
    String standby = findStandby(cluster);
    crashLeader(cluster, 30_000);
    cluster.schedule(afterMs, () -> cluster.crashNode(standby, 20_000));
    cluster.run(45);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** The third node has no replica, so it recovers by reading everything from the store. */
  @Test
  void leaderAndStandbyCrashTogether() {
    SimulatedCluster cluster = newCluster(6);
    List<Job> jobs = submitRollout(cluster);
    cluster.run(25);
    cluster.crashNode(findStandby(cluster), 20_000);
    crashLeader(cluster, 20_000);
    cluster.run(8);
    assertFalse(
        leaderController(cluster).recoveredFromReplica(),
        "the third node recovered from a replica");
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * The leader is suspended and resumes when the standby leads; its delayed commands, transactions,
   * responses and lease renewals arrive then.
   */
  @ParameterizedTest
  @CsvSource({"3600,0", "5000,900", "8000,1500", "12000,3000"})
  void oldLeaderResumesAfterAPause(int pauseMs, int commandDelayMs) {
    SimulatedCluster cluster = newCluster(7);
    cluster.setProbesAfterNews(true);
    cluster.run(15);
    List<Job> jobs = submitRollout(cluster);
    cluster.commandDelayMs = commandDelayMs;
    cluster.repeatedHeartbeatProbability = 0.2;
    cluster.run(1);
    cluster.freezeNode(cluster.leader(), pauseMs);
    cluster.schedule(
        pauseMs - 200, () -> jobs.subList(0, 3).forEach(job -> cluster.cancel(job.uid())));
    cluster.run(40);
    cluster.commandDelayMs = 0;
    cluster.setProbesAfterNews(false);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * The third node confirms cancellations during the failover, and then the store is unavailable
   * for longer than {@code cancel_s}.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1000, 2500, 3000, 3300, 3400, 3500, 3700, 4200})
  void cancellationsAreKeptDuringAFailover(int afterMs) {
    for (long storeDelayMs : new long[] {0, 700}) {
      cancelDuringAFailover(afterMs, storeDelayMs);
    }
  }

  private static void cancelDuringAFailover(int afterMs, long storeDelayMs) {
    SimulatedCluster cluster = newCluster(8);
    List<Job> jobs = submitRollout(cluster);
    cluster.run(25);
    String leader = cluster.leader();
    String standby = findStandby(cluster);
    String third =
        cluster.nodeNames().stream()
            .filter(node -> !node.equals(leader) && !node.equals(standby))
            .findFirst()
            .orElseThrow();
    cluster.storeDelayMs = storeDelayMs;
    crashLeader(cluster, 60_000);
    cluster.schedule(
        afterMs, () -> jobs.subList(2, 6).forEach(job -> cluster.cancelOnce(third, job.uid())));
    cluster.schedule(afterMs + 150, () -> cluster.store.startOutage(cluster.nowMs));
    cluster.schedule(afterMs + 40_000, () -> cluster.store.endOutage(cluster.nowMs));
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * Jobs are archived while standbys follow the store: at a failover some archived jobs are still
   * in the replica, and some are removed from the store while the replica is taken over.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void jobsAreArchivedDuringFailovers(long seed) {
    Settings settings = TestFixtures.withStandbys(TestFixtures.archivingSettings(60, 2), 1);
    SimulatedCluster cluster = new SimulatedCluster(seed, settings);
    List<Job> jobs = submitRollout(cluster);
    for (int i = 0; i < 8; i++) {
      Job job = TestFixtures.job(40 + i, JobKind.ARRAY, 1, 0);
      jobs.add(job);
      cluster.schedule(2000 + i * 2500L, () -> cluster.submit(job));
    }
    for (int i = 0; i < 3; i++) {
      cluster.schedule(15_000 + i * 8000L + 130 * seed, () -> crashLeader(cluster, 2500));
    }
    cluster.run(50);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 200, 300, 400, 600, 1000})
  void leaderCrashesWhileGangsArePartlyReserved(int afterMs) {
    SimulatedCluster cluster = newCluster(9);
    cluster.run(20);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      Job gang = TestFixtures.gang(i, 4, 2, 8, i % 2 == 0);
      jobs.add(gang);
      cluster.submit(gang);
    }
    cluster.run(afterMs / 1000.0);
    crashLeader(cluster, 8000);
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Nodes of an older version, which has no standbys, are upgraded one by one, in any order. */
  @ParameterizedTest
  @ValueSource(strings = {"012", "021", "102", "120", "201", "210"})
  void rollingUpgradeInAnyOrder(String order) {
    SimulatedCluster cluster = newCluster(10);
    cluster.olderVersionNodes.addAll(cluster.nodeNames());
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 100));
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 2, 1);
      jobs.add(job);
      cluster.schedule(i * 400L, () -> cluster.submit(job));
    }
    cluster.run(20);
    for (char nodeNumber : order.toCharArray()) {
      cluster.olderVersionNodes.remove("roost-" + nodeNumber);
      cluster.crashNode("roost-" + nodeNumber, 500);
      cluster.run(9);
    }
    crashLeader(cluster, 3000);
    cluster.run(10);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Plays random histories of faults; many more are run by hand, see docs/standby.md. */
  @ParameterizedTest
  @MethodSource("historySeeds")
  void randomHistories(long seed) {
    randomHistory(seed);
  }

  /** Plays a random history on three or five nodes with one or two standbys. */
  static void randomHistory(long seed) {
    SimulatedCluster cluster = randomCluster(seed);
    ExpectedOutcome.assertAllJobsServed(cluster, play(cluster, seed));
  }

  /** Returns the cluster on which the random history of this seed is played. */
  static SimulatedCluster randomCluster(long seed) {
    return newCluster(seed, seed % 3 == 0 ? 5 : 3, 1 + (int) (seed % 2));
  }

  /** Plays the random history of this seed and returns the jobs that were submitted. */
  static List<Job> play(SimulatedCluster cluster, long seed) {
    Random random = new Random(seed * 101);
    cluster.lossProbability = 0.01;
    cluster.delayProbability = 0.02;
    cluster.duplicateProbability = 0.02;
    cluster.lateTransactionProbability = 0.05;
    cluster.lostStoreReplyProbability = 0.05;
    cluster.repeatedHeartbeatProbability = 0.05;
    if (seed % 4 == 0) {
      cluster.setProbesAfterNews(true);
    }
    List<Job> jobs = submitRollout(cluster);
    for (int i = 0; i < 10; i++) {
      JobKind kind = random.nextBoolean() ? JobKind.ARRAY : JobKind.SERVICE;
      Job job = TestFixtures.job(60 + i, kind, 1 + random.nextInt(4), random.nextInt(2));
      jobs.add(job);
      cluster.schedule(random.nextInt(50_000), () -> cluster.submit(job));
      if (random.nextInt(3) == 0) {
        cluster.schedule(20_000 + random.nextInt(40_000), () -> cluster.cancel(job.uid()));
      }
    }
    for (int i = 0; i < 8; i++) {
      cluster.schedule(10_000 + random.nextInt(60_000), () -> injectFault(cluster, random));
    }
    cluster.run(80);
    cluster.setProbesAfterNews(false);
    return jobs;
  }

  private static void injectFault(SimulatedCluster cluster, Random random) {
    String randomNode = cluster.nodeNames().get(random.nextInt(cluster.nodeCount));
    String leader = cluster.leader() == null ? randomNode : cluster.leader();
    String standby = findStandby(cluster) == null ? randomNode : findStandby(cluster);
    switch (random.nextInt(7)) {
      case 0 -> cluster.crashNode(leader, 200 + random.nextInt(6000));
      case 1 -> cluster.crashNode(standby, 200 + random.nextInt(6000));
      case 2 -> {
        cluster.crashNode(leader, 200 + random.nextInt(4000));
        cluster.crashNode(standby, 200 + random.nextInt(4000));
      }
      case 3 -> cluster.freezeNode(leader, 1000 + random.nextInt(9000));
      case 4 -> cluster.refuseStoreRequests(random.nextBoolean() ? leader : standby, 8000);
      case 5 -> {
        cluster.store.startOutage(cluster.nowMs);
        cluster.schedule(3000 + random.nextInt(9000), () -> cluster.store.endOutage(cluster.nowMs));
      }
      default -> cluster.isolateNode(leader, 5000 + random.nextInt(9000));
    }
  }
}
