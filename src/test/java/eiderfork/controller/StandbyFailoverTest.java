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
  private static SimulatedCluster world(long seed) {
    return world(seed, 3, 1);
  }

  private static SimulatedCluster world(long seed, int nodes, int standbys) {
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
  private static List<Job> rollout(SimulatedCluster world) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 8; i++) {
      String team = i % 2 == 0 ? "red" : "blue";
      jobs.add(TestFixtures.job(i, JobKind.SERVICE, 2, 1, team, Priority.HIGH, false, false));
    }
    jobs.add(TestFixtures.job(20, JobKind.ARRAY, 5, 1));
    jobs.add(TestFixtures.gang(21, 3, 1, 6, false));
    for (int i = 0; i < jobs.size(); i++) {
      Job job = jobs.get(i);
      world.at(i * 150L, () -> world.submit(job));
    }
    return jobs;
  }

  private static String standby(SimulatedCluster world) {
    return world.nodes.entrySet().stream()
        .filter(node -> node.getValue().isStandby())
        .map(java.util.Map.Entry::getKey)
        .findFirst()
        .orElse(null);
  }

  private static Controller leading(SimulatedCluster world) {
    return world.nodes.get(world.leader());
  }

  @Test
  void standbyFollowsAndLeadsNext() {
    SimulatedCluster world = world(1);
    List<Job> jobs = rollout(world);
    world.run(30);
    String next = standby(world);
    world.crash(world.leader(), 60_000);
    world.run(6);
    assertEquals(next, world.leader());
    assertTrue(leading(world).recoveredFromReplica());
    world.run(10);
    assertTrue(standby(world) != null, "the node that is left stands by now");
    ExpectedOutcome.allServed(world, jobs);
  }

  @Test
  void withoutTheSettingNobodyStandsBy() {
    SimulatedCluster world = world(1, 3, 0);
    List<Job> jobs = rollout(world);
    world.run(30);
    assertEquals(null, standby(world));
    world.crash(world.leader(), 60_000);
    world.run(6);
    assertFalse(leading(world).recoveredFromReplica());
    ExpectedOutcome.allServed(world, jobs);
  }

  /** At every write of a round, with the replica current, one placement behind, and far behind. */
  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 150, 200, 300, 400, 500, 700, 900, 1100, 1300, 1600, 2000, 3000})
  void leaderIsKilledInTheMiddleOfARollout(int afterMs) {
    for (long stateDelayMs : new long[] {0, 300}) {
      SimulatedCluster world = world(2);
      world.run(20);
      List<Job> jobs = rollout(world);
      world.stateDelayMs = stateDelayMs;
      world.run(afterMs / 1000.0);
      world.crash(world.leader(), 20_000);
      world.run(8);
      world.stateDelayMs = 0;
      world.run(30);
      ExpectedOutcome.allServed(world, jobs);
    }
  }

  /** Rents and returns that the old leader had reserved are settled by the next one. */
  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 200, 500, 1000, 2000})
  void scaleOutAndScaleInIntentsOfTheReplicaAreSettled(int afterMs) {
    SimulatedCluster world = world(12);
    world.run(20);
    List<Job> jobs = rollout(world);
    world.run(2);
    world.cut("cloud>" + world.leader(), 10_000);
    world.run(afterMs / 1000.0);
    crashLeader(world, 20_000);
    world.run(8);
    assertTrue(leading(world).recoveredFromReplica());
    jobs.subList(0, 4).forEach(job -> world.abort(job.uid()));
    ExpectedOutcome.allServed(world, jobs);
    assertEquals(List.of(), world.state.keys(StoreKeys.RENT_PREFIX), "rents that nobody settles");
  }

  /** Watches bring nothing for a while; what was written meanwhile comes with the proof. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 8})
  void replicaIsFarBehind(int blindS) {
    SimulatedCluster world = world(13);
    world.run(20);
    String standby = standby(world);
    world.stateAccess.blind.add(standby);
    List<Job> jobs = rollout(world);
    world.run(blindS);
    jobs.subList(0, 2).forEach(job -> world.abort(job.uid()));
    world.run(1);
    crashLeader(world, 20_000);
    world.run(6);
    assertEquals(standby, world.leader());
    assertTrue(leading(world).recoveredFromReplica());
    var term = world.state.get(StoreKeys.TERM);
    world.stateAccess.blind.clear();
    ExpectedOutcome.allServed(world, jobs);
    assertEquals(term, world.state.get(StoreKeys.TERM), "what it took up was right");
  }

  /** A reservation's answer is lost, or it is carried out while the standby leads. */
  @ParameterizedTest
  @MethodSource("seeds")
  void reservationsAreCarriedOutLateOrLoseTheirAnswers(long seed) {
    SimulatedCluster world = world(seed);
    world.run(15);
    List<Job> jobs = rollout(world);
    world.lateWrites = seed % 2 == 0 ? 0.4 : 0;
    world.lostAnswers = seed % 2 == 0 ? 0 : 0.4;
    world.at(800 + 150 * seed, () -> crashLeader(world, 6000));
    world.run(12);
    world.lateWrites = 0;
    world.lostAnswers = 0;
    world.run(40);
    ExpectedOutcome.allServed(world, jobs);
  }

  private static void crashLeader(SimulatedCluster world, long forMs) {
    if (world.leader() != null) {
      world.crash(world.leader(), forMs);
    }
  }

  /** Answers of watches are lost, late and doubled like all others. */
  @ParameterizedTest
  @MethodSource("seeds")
  void watchesAreLostLateAndDoubled(long seed) {
    SimulatedCluster world = world(seed);
    world.loss = 0.1;
    world.late = 0.1;
    world.lateMs = 3000;
    world.doubled = 0.2;
    List<Job> jobs = rollout(world);
    for (int i = 0; i < 4; i++) {
      world.at(15_000 + i * 9000L + 300 * seed, () -> crashLeader(world, 3000));
    }
    world.run(60);
    ExpectedOutcome.allServed(world, jobs);
  }

  @ParameterizedTest
  @ValueSource(ints = {-500, 0, 500, 3000, 3400, 3800})
  void storeIsUnavailableDuringTheFailover(int afterMs) {
    SimulatedCluster world = world(3);
    List<Job> jobs = rollout(world);
    world.run(25);
    world.at(500, () -> crashLeader(world, 30_000));
    world.at(500 + afterMs, () -> world.state.outage(world.nowMs));
    world.at(9000, () -> world.state.recover(world.nowMs));
    world.run(45);
    ExpectedOutcome.allServed(world, jobs);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 2000, 3300, 4000})
  void standbyAloneIsRefused(int afterMs) {
    SimulatedCluster world = world(4);
    List<Job> jobs = rollout(world);
    world.run(25);
    String standby = standby(world);
    world.at(afterMs, () -> world.refuse(standby, 15_000));
    crashLeader(world, 20_000);
    world.run(40);
    ExpectedOutcome.allServed(world, jobs);
  }

  @Test
  void twoStandbysTryAndOneLeads() {
    for (long seed = 1; seed <= 6; seed++) {
      SimulatedCluster world = world(seed, 5, 2);
      List<Job> jobs = rollout(world);
      world.run(25);
      long standbys = world.nodes.values().stream().filter(Controller::isStandby).count();
      assertEquals(2, standbys);
      crashLeader(world, 20_000);
      world.run(8);
      assertTrue(leading(world).recoveredFromReplica());
      ExpectedOutcome.allServed(world, jobs);
    }
  }

  /** While it waits, stands for election, catches up, and right after. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1000, 3000, 3300, 3350, 3400, 3450, 3500, 3600, 3800, 4500})
  void standbyIsKilledAtEachPhase(int afterMs) {
    SimulatedCluster world = world(5);
    List<Job> jobs = rollout(world);
    world.run(25);
    String standby = standby(world);
    crashLeader(world, 30_000);
    world.at(afterMs, () -> world.crash(standby, 20_000));
    world.run(45);
    ExpectedOutcome.allServed(world, jobs);
  }

  @Test
  void leaderAndStandbyAreKilledTogether() {
    SimulatedCluster world = world(6);
    List<Job> jobs = rollout(world);
    world.run(25);
    world.crash(standby(world), 20_000);
    crashLeader(world, 20_000);
    world.run(8);
    assertFalse(leading(world).recoveredFromReplica(), "the third node reads everything");
    ExpectedOutcome.allServed(world, jobs);
  }

  /** Its late commands, transactions, answers and renewals come when the standby leads. */
  @ParameterizedTest
  @CsvSource({"3600,0", "5000,900", "8000,1500", "12000,3000"})
  void oldLeaderResumesAfterAPause(int stillMs, int commandsLateMs) {
    SimulatedCluster world = world(7);
    world.lookCloselyAtNews(true);
    world.run(15);
    List<Job> jobs = rollout(world);
    world.commandsLateMs = commandsLateMs;
    world.lateReports = 0.2;
    world.run(1);
    world.freeze(world.leader(), stillMs);
    world.at(stillMs - 200, () -> jobs.subList(0, 3).forEach(job -> world.abort(job.uid())));
    world.run(40);
    world.commandsLateMs = 0;
    world.lookCloselyAtNews(false);
    ExpectedOutcome.allServed(world, jobs);
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
    SimulatedCluster world = world(8);
    List<Job> jobs = rollout(world);
    world.run(25);
    String leader = world.leader();
    String standby = standby(world);
    String third =
        world.all().stream()
            .filter(node -> !node.equals(leader) && !node.equals(standby))
            .findFirst()
            .orElseThrow();
    world.stateDelayMs = stateDelayMs;
    crashLeader(world, 60_000);
    world.at(afterMs, () -> jobs.subList(2, 6).forEach(job -> world.abortAt(third, job.uid())));
    world.at(afterMs + 150, () -> world.state.outage(world.nowMs));
    world.at(afterMs + 40_000, () -> world.state.recover(world.nowMs));
    world.run(60);
    ExpectedOutcome.allServed(world, jobs);
  }

  /** Jobs are archived while the replica is followed; some are in it, some go as it is used. */
  @ParameterizedTest
  @MethodSource("seeds")
  void archivedJobsInTheReplica(long seed) {
    Settings settings = TestFixtures.withStandbys(TestFixtures.archiving(60, 2), 1);
    SimulatedCluster world = new SimulatedCluster(seed, settings);
    List<Job> jobs = rollout(world);
    for (int i = 0; i < 8; i++) {
      Job job = TestFixtures.job(40 + i, JobKind.ARRAY, 1, 0);
      jobs.add(job);
      world.at(2000 + i * 2500L, () -> world.submit(job));
    }
    for (int i = 0; i < 3; i++) {
      world.at(15_000 + i * 8000L + 130 * seed, () -> crashLeader(world, 2500));
    }
    world.run(50);
    ExpectedOutcome.allServed(world, jobs);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 200, 300, 400, 600, 1000})
  void gangIsHalfReserved(int afterMs) {
    SimulatedCluster world = world(9);
    world.run(20);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      Job gang = TestFixtures.gang(i, 4, 2, 8, i % 2 == 0);
      jobs.add(gang);
      world.submit(gang);
    }
    world.run(afterMs / 1000.0);
    crashLeader(world, 8000);
    world.run(40);
    ExpectedOutcome.allServed(world, jobs);
  }

  /** Nodes that know no standby are replaced one after the other, in any order. */
  @ParameterizedTest
  @ValueSource(strings = {"012", "021", "102", "120", "201", "210"})
  void anUpgradeInAnyOrder(String order) {
    SimulatedCluster world = world(10);
    world.older.addAll(world.all());
    world.all().forEach(node -> world.crash(node, 100));
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 2, 1);
      jobs.add(job);
      world.at(i * 400L, () -> world.submit(job));
    }
    world.run(20);
    for (char node : order.toCharArray()) {
      world.older.remove("roost-" + node);
      world.crash("roost-" + node, 500);
      world.run(9);
    }
    crashLeader(world, 3000);
    world.run(10);
    ExpectedOutcome.allServed(world, jobs);
  }

  /** Seeded histories of faults; many more are run by hand, see docs/standby.md. */
  @ParameterizedTest
  @MethodSource("historySeeds")
  void randomHistories(long seed) {
    randomHistory(seed);
  }

  /** One random history on three or five nodes with one or two standbys. */
  static void randomHistory(long seed) {
    SimulatedCluster world = randomWorld(seed);
    ExpectedOutcome.allServed(world, play(world, seed));
  }

  /** Where a random history is played. */
  static SimulatedCluster randomWorld(long seed) {
    return world(seed, seed % 3 == 0 ? 5 : 3, 1 + (int) (seed % 2));
  }

  /** Plays the random history of this seed, and tells the jobs. */
  static List<Job> play(SimulatedCluster world, long seed) {
    Random script = new Random(seed * 101);
    world.loss = 0.01;
    world.late = 0.02;
    world.doubled = 0.02;
    world.lateWrites = 0.05;
    world.lostAnswers = 0.05;
    world.lateReports = 0.05;
    if (seed % 4 == 0) {
      world.lookCloselyAtNews(true);
    }
    List<Job> jobs = rollout(world);
    for (int i = 0; i < 10; i++) {
      JobKind kind = script.nextBoolean() ? JobKind.ARRAY : JobKind.SERVICE;
      Job job = TestFixtures.job(60 + i, kind, 1 + script.nextInt(4), script.nextInt(2));
      jobs.add(job);
      world.at(script.nextInt(50_000), () -> world.submit(job));
      if (script.nextInt(3) == 0) {
        world.at(20_000 + script.nextInt(40_000), () -> world.abort(job.uid()));
      }
    }
    for (int i = 0; i < 8; i++) {
      world.at(10_000 + script.nextInt(60_000), () -> injectFault(world, script));
    }
    world.run(80);
    world.lookCloselyAtNews(false);
    return jobs;
  }

  private static void injectFault(SimulatedCluster world, Random script) {
    String any = world.all().get(script.nextInt(world.count));
    String leader = world.leader() == null ? any : world.leader();
    String standby = standby(world) == null ? any : standby(world);
    switch (script.nextInt(7)) {
      case 0 -> world.crash(leader, 200 + script.nextInt(6000));
      case 1 -> world.crash(standby, 200 + script.nextInt(6000));
      case 2 -> {
        world.crash(leader, 200 + script.nextInt(4000));
        world.crash(standby, 200 + script.nextInt(4000));
      }
      case 3 -> world.freeze(leader, 1000 + script.nextInt(9000));
      case 4 -> world.refuse(script.nextBoolean() ? leader : standby, 8000);
      case 5 -> {
        world.state.outage(world.nowMs);
        world.at(3000 + script.nextInt(9000), () -> world.state.recover(world.nowMs));
      }
      default -> world.isolate(leader, 5000 + script.nextInt(9000));
    }
  }
}
