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

/** A standby takes over with its replica while something else goes wrong. */
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

  /** The seeds of random histories; more with {@code -Dhistories.from=... -Dhistories.to=...}. */
  private static LongStream historySeeds() {
    return LongStream.rangeClosed(
        Long.getLong("histories.from", 1), Long.getLong("histories.to", 8));
  }

  /** Services, an array and a gang, some of them submitted while the first start. */
  private static List<Job> rollout(SimulatedCluster cluster) {
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

  private static String standby(SimulatedCluster cluster) {
    return cluster.controllers.entrySet().stream()
        .filter(node -> node.getValue().isStandby())
        .map(java.util.Map.Entry::getKey)
        .findFirst()
        .orElse(null);
  }

  private static Controller leading(SimulatedCluster cluster) {
    return cluster.controllers.get(cluster.leader());
  }

  @Test
  void standbyFollowsAndLeadsNext() {
    SimulatedCluster cluster = newCluster(1);
    List<Job> jobs = rollout(cluster);
    cluster.run(30);
    String next = standby(cluster);
    cluster.crashNode(cluster.leader(), 60_000);
    cluster.run(6);
    assertEquals(next, cluster.leader());
    assertTrue(leading(cluster).recoveredFromReplica());
    cluster.run(10);
    assertTrue(standby(cluster) != null, "the node that is left stands by now");
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @Test
  void withoutTheSettingNobodyStandsBy() {
    SimulatedCluster cluster = newCluster(1, 3, 0);
    List<Job> jobs = rollout(cluster);
    cluster.run(30);
    assertEquals(null, standby(cluster));
    cluster.crashNode(cluster.leader(), 60_000);
    cluster.run(6);
    assertFalse(leading(cluster).recoveredFromReplica());
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** At every write of a round, with the replica current, one placement behind, and far behind. */
  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 150, 200, 300, 400, 500, 700, 900, 1100, 1300, 1600, 2000, 3000})
  void leaderIsKilledInTheMiddleOfARollout(int afterMs) {
    for (long stateDelayMs : new long[] {0, 300}) {
      SimulatedCluster cluster = newCluster(2);
      cluster.run(20);
      List<Job> jobs = rollout(cluster);
      cluster.storeDelayMs = stateDelayMs;
      cluster.run(afterMs / 1000.0);
      cluster.crashNode(cluster.leader(), 20_000);
      cluster.run(8);
      cluster.storeDelayMs = 0;
      cluster.run(30);
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    }
  }

  /** Rents and returns that the old leader had reserved are settled by the next one. */
  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 200, 500, 1000, 2000})
  void scaleOutAndScaleInIntentsOfTheReplicaAreSettled(int afterMs) {
    SimulatedCluster cluster = newCluster(12);
    cluster.run(20);
    List<Job> jobs = rollout(cluster);
    cluster.run(2);
    cluster.cutLink("cloud>" + cluster.leader(), 10_000);
    cluster.run(afterMs / 1000.0);
    crashLeader(cluster, 20_000);
    cluster.run(8);
    assertTrue(leading(cluster).recoveredFromReplica());
    jobs.subList(0, 4).forEach(job -> cluster.cancel(job.uid()));
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    assertEquals(
        List.of(),
        cluster.store.keys(StoreKeys.SCALE_OUT_INTENT_PREFIX),
        "rents that nobody settles");
  }

  /** Watches bring nothing for a while; what was written meanwhile comes with the proof. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 8})
  void replicaIsFarBehind(int blindS) {
    SimulatedCluster cluster = newCluster(13);
    cluster.run(20);
    String standby = standby(cluster);
    cluster.storeAccess.nodesWithSilentWatches.add(standby);
    List<Job> jobs = rollout(cluster);
    cluster.run(blindS);
    jobs.subList(0, 2).forEach(job -> cluster.cancel(job.uid()));
    cluster.run(1);
    crashLeader(cluster, 20_000);
    cluster.run(6);
    assertEquals(standby, cluster.leader());
    assertTrue(leading(cluster).recoveredFromReplica());
    var term = cluster.store.get(StoreKeys.TERM);
    cluster.storeAccess.nodesWithSilentWatches.clear();
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    assertEquals(term, cluster.store.get(StoreKeys.TERM), "what it took up was right");
  }

  /** A reservation's answer is lost, or it is carried out while the standby leads. */
  @ParameterizedTest
  @MethodSource("seeds")
  void reservationsAreCarriedOutLateOrLoseTheirAnswers(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    cluster.run(15);
    List<Job> jobs = rollout(cluster);
    cluster.lateTransactionProbability = seed % 2 == 0 ? 0.4 : 0;
    cluster.lostStoreReplyProbability = seed % 2 == 0 ? 0 : 0.4;
    cluster.schedule(800 + 150 * seed, () -> crashLeader(cluster, 6000));
    cluster.run(12);
    cluster.lateTransactionProbability = 0;
    cluster.lostStoreReplyProbability = 0;
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  private static void crashLeader(SimulatedCluster cluster, long forMs) {
    if (cluster.leader() != null) {
      cluster.crashNode(cluster.leader(), forMs);
    }
  }

  /** Answers of watches are lost, late and doubled like all others. */
  @ParameterizedTest
  @MethodSource("seeds")
  void watchesAreLostLateAndDoubled(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    cluster.lossProbability = 0.1;
    cluster.delayProbability = 0.1;
    cluster.maxDelayMs = 3000;
    cluster.duplicateProbability = 0.2;
    List<Job> jobs = rollout(cluster);
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
    List<Job> jobs = rollout(cluster);
    cluster.run(25);
    cluster.schedule(500, () -> crashLeader(cluster, 30_000));
    cluster.schedule(500 + afterMs, () -> cluster.store.startOutage(cluster.nowMs));
    cluster.schedule(9000, () -> cluster.store.endOutage(cluster.nowMs));
    cluster.run(45);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 2000, 3300, 4000})
  void standbyAloneIsRefused(int afterMs) {
    SimulatedCluster cluster = newCluster(4);
    List<Job> jobs = rollout(cluster);
    cluster.run(25);
    String standby = standby(cluster);
    cluster.schedule(afterMs, () -> cluster.refuseStoreRequests(standby, 15_000));
    crashLeader(cluster, 20_000);
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @Test
  void twoStandbysTryAndOneLeads() {
    for (long seed = 1; seed <= 6; seed++) {
      SimulatedCluster cluster = newCluster(seed, 5, 2);
      List<Job> jobs = rollout(cluster);
      cluster.run(25);
      long standbys = cluster.controllers.values().stream().filter(Controller::isStandby).count();
      assertEquals(2, standbys);
      crashLeader(cluster, 20_000);
      cluster.run(8);
      assertTrue(leading(cluster).recoveredFromReplica());
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    }
  }

  /** While it waits, stands for election, catches up, and right after. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1000, 3000, 3300, 3350, 3400, 3450, 3500, 3600, 3800, 4500})
  void standbyIsKilledAtEachPhase(int afterMs) {
    SimulatedCluster cluster = newCluster(5);
    List<Job> jobs = rollout(cluster);
    cluster.run(25);
    String standby = standby(cluster);
    crashLeader(cluster, 30_000);
    cluster.schedule(afterMs, () -> cluster.crashNode(standby, 20_000));
    cluster.run(45);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @Test
  void leaderAndStandbyAreKilledTogether() {
    SimulatedCluster cluster = newCluster(6);
    List<Job> jobs = rollout(cluster);
    cluster.run(25);
    cluster.crashNode(standby(cluster), 20_000);
    crashLeader(cluster, 20_000);
    cluster.run(8);
    assertFalse(leading(cluster).recoveredFromReplica(), "the third node reads everything");
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Its late commands, transactions, answers and renewals come when the standby leads. */
  @ParameterizedTest
  @CsvSource({"3600,0", "5000,900", "8000,1500", "12000,3000"})
  void oldLeaderResumesAfterAPause(int stillMs, int commandsLateMs) {
    SimulatedCluster cluster = newCluster(7);
    cluster.setProbesAfterNews(true);
    cluster.run(15);
    List<Job> jobs = rollout(cluster);
    cluster.commandDelayMs = commandsLateMs;
    cluster.repeatedHeartbeatProbability = 0.2;
    cluster.run(1);
    cluster.freezeNode(cluster.leader(), stillMs);
    cluster.schedule(
        stillMs - 200, () -> jobs.subList(0, 3).forEach(job -> cluster.cancel(job.uid())));
    cluster.run(40);
    cluster.commandDelayMs = 0;
    cluster.setProbesAfterNews(false);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** A third node confirms cancellations, and then the store is out past cancel_s. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1000, 2500, 3000, 3300, 3400, 3500, 3700, 4200})
  void cancellationsDuringAFailover(int afterMs) {
    for (long stateDelayMs : new long[] {0, 700}) {
      cancelDuringAFailover(afterMs, stateDelayMs);
    }
  }

  private static void cancelDuringAFailover(int afterMs, long stateDelayMs) {
    SimulatedCluster cluster = newCluster(8);
    List<Job> jobs = rollout(cluster);
    cluster.run(25);
    String leader = cluster.leader();
    String standby = standby(cluster);
    String third =
        cluster.nodeNames().stream()
            .filter(node -> !node.equals(leader) && !node.equals(standby))
            .findFirst()
            .orElseThrow();
    cluster.storeDelayMs = stateDelayMs;
    crashLeader(cluster, 60_000);
    cluster.schedule(
        afterMs, () -> jobs.subList(2, 6).forEach(job -> cluster.cancelOnce(third, job.uid())));
    cluster.schedule(afterMs + 150, () -> cluster.store.startOutage(cluster.nowMs));
    cluster.schedule(afterMs + 40_000, () -> cluster.store.endOutage(cluster.nowMs));
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Jobs are archived while the replica is followed; some are in it, some go as it is used. */
  @ParameterizedTest
  @MethodSource("seeds")
  void archivedJobsInTheReplica(long seed) {
    Settings settings = TestFixtures.withStandbys(TestFixtures.archivingSettings(60, 2), 1);
    SimulatedCluster cluster = new SimulatedCluster(seed, settings);
    List<Job> jobs = rollout(cluster);
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
  void gangIsHalfReserved(int afterMs) {
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

  /** Nodes that know no standby are replaced one after the other, in any order. */
  @ParameterizedTest
  @ValueSource(strings = {"012", "021", "102", "120", "201", "210"})
  void anUpgradeInAnyOrder(String order) {
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
    for (char node : order.toCharArray()) {
      cluster.olderVersionNodes.remove("roost-" + node);
      cluster.crashNode("roost-" + node, 500);
      cluster.run(9);
    }
    crashLeader(cluster, 3000);
    cluster.run(10);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Seeded histories of faults; many more are run by hand, see docs/standby.md. */
  @ParameterizedTest
  @MethodSource("historySeeds")
  void randomHistories(long seed) {
    randomHistory(seed);
  }

  /** One random history on three or five nodes with one or two standbys. */
  static void randomHistory(long seed) {
    SimulatedCluster cluster = randomCluster(seed);
    ExpectedOutcome.assertAllJobsServed(cluster, play(cluster, seed));
  }

  /** Where a random history is played. */
  static SimulatedCluster randomCluster(long seed) {
    return newCluster(seed, seed % 3 == 0 ? 5 : 3, 1 + (int) (seed % 2));
  }

  /** Plays the random history of this seed, and tells the jobs. */
  static List<Job> play(SimulatedCluster cluster, long seed) {
    Random script = new Random(seed * 101);
    cluster.lossProbability = 0.01;
    cluster.delayProbability = 0.02;
    cluster.duplicateProbability = 0.02;
    cluster.lateTransactionProbability = 0.05;
    cluster.lostStoreReplyProbability = 0.05;
    cluster.repeatedHeartbeatProbability = 0.05;
    if (seed % 4 == 0) {
      cluster.setProbesAfterNews(true);
    }
    List<Job> jobs = rollout(cluster);
    for (int i = 0; i < 10; i++) {
      JobKind kind = script.nextBoolean() ? JobKind.ARRAY : JobKind.SERVICE;
      Job job = TestFixtures.job(60 + i, kind, 1 + script.nextInt(4), script.nextInt(2));
      jobs.add(job);
      cluster.schedule(script.nextInt(50_000), () -> cluster.submit(job));
      if (script.nextInt(3) == 0) {
        cluster.schedule(20_000 + script.nextInt(40_000), () -> cluster.cancel(job.uid()));
      }
    }
    for (int i = 0; i < 8; i++) {
      cluster.schedule(10_000 + script.nextInt(60_000), () -> injectFault(cluster, script));
    }
    cluster.run(80);
    cluster.setProbesAfterNews(false);
    return jobs;
  }

  private static void injectFault(SimulatedCluster cluster, Random script) {
    String any = cluster.nodeNames().get(script.nextInt(cluster.nodeCount));
    String leader = cluster.leader() == null ? any : cluster.leader();
    String standby = standby(cluster) == null ? any : standby(cluster);
    switch (script.nextInt(7)) {
      case 0 -> cluster.crashNode(leader, 200 + script.nextInt(6000));
      case 1 -> cluster.crashNode(standby, 200 + script.nextInt(6000));
      case 2 -> {
        cluster.crashNode(leader, 200 + script.nextInt(4000));
        cluster.crashNode(standby, 200 + script.nextInt(4000));
      }
      case 3 -> cluster.freezeNode(leader, 1000 + script.nextInt(9000));
      case 4 -> cluster.refuseStoreRequests(script.nextBoolean() ? leader : standby, 8000);
      case 5 -> {
        cluster.store.startOutage(cluster.nowMs);
        cluster.schedule(3000 + script.nextInt(9000), () -> cluster.store.endOutage(cluster.nowMs));
      }
      default -> cluster.isolateNode(leader, 5000 + script.nextInt(9000));
    }
  }
}
