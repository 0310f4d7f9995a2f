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

/** The lead changes hands while something else goes wrong. */
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

  private static void crashLeader(SimulatedCluster cluster, long forMs) {
    if (cluster.leader() != null) {
      cluster.crashNode(cluster.leader(), forMs);
    }
  }

  /** Leaders change ten times in two minutes, also inside an outage. */
  @ParameterizedTest
  @MethodSource("seeds")
  void theLeadChangesTenTimesInTwoMinutes(long seed) {
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

  /** Controllers hand over and back, all end, and one returns, also within a second. */
  @ParameterizedTest
  @ValueSource(ints = {100, 300, 600, 900, 1500, 3000, 8000, 13_000, 20_000})
  void allEndAndOneReturns(int awayMs) {
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
    cluster.crashNode("roost-0", awayMs);
    cluster.schedule(30, () -> cluster.crashNode("roost-1", 30_000));
    cluster.schedule(90, () -> cluster.crashNode("roost-2", 30_000));
    cluster.run(50);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Jobs are cancelled in the seconds in which one controller's work changes hands. */
  @ParameterizedTest
  @ValueSource(ints = {0, 100, 500, 1500, 2500, 3000, 3200, 3300, 3400, 3500, 3600, 3800, 4200})
  void cancellationsWhileTheWorkChangesHands(int afterMs) {
    for (boolean frozen : new boolean[] {false, true}) {
      SimulatedCluster cluster = new SimulatedCluster(2);
      List<Job> jobs = services(cluster, 5);
      cluster.run(25);
      Job starting = TestFixtures.job(30, JobKind.ARRAY, 6, 1);
      jobs.add(starting);
      cluster.submit(starting);
      String old = cluster.leader();
      if (frozen) {
        cluster.freezeNode(old, 7000);
      } else {
        cluster.crashNode(old, 7000);
      }
      for (Job job : List.copyOf(jobs).subList(2, 6)) {
        cluster.schedule(afterMs, () -> cluster.cancel(job.uid()));
      }
      cluster.run(40);
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    }
  }

  /** A leader ends while machines with long tasks can't be reached, or don't hear its successor. */
  @ParameterizedTest
  @ValueSource(ints = {2000, 6000, 9000, 11_000, 14_000, 25_000})
  void machinesThatDoNotHearTheNewLeader(int forMs) {
    for (boolean deaf : new boolean[] {true, false}) {
      SimulatedCluster cluster = new SimulatedCluster(4);
      List<Job> jobs = services(cluster, 5);
      cluster.run(25);
      List<FakeWorker> workers = cluster.workers();
      for (FakeWorker worker : workers.subList(0, workers.size() / 2 + 1)) {
        if (deaf) {
          cluster.cutLinksTo(worker.machine.name(), forMs);
        } else {
          cluster.cutLinksFrom(worker.machine.name(), forMs);
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
   * An older leader, cut from the store and its peers, renews the leases of machines that its
   * successor can't reach. None of their tasks starts elsewhere while that may go on.
   */
  @ParameterizedTest
  @ValueSource(ints = {12_000, 18_000, 25_000, 40_000})
  void leasesThatAnOlderLeaderRenewsDoNotCountAsLapsed(int forMs) {
    SimulatedCluster cluster = new SimulatedCluster(4);
    List<Job> jobs = services(cluster, 5);
    cluster.run(25);
    String old = cluster.leader();
    cluster.isolateNode(old, forMs);
    for (FakeWorker worker : cluster.workers()) {
      for (String node : cluster.nodeNames()) {
        if (!node.equals(old)) {
          cluster.cutLink(node + ">" + worker.machine.name(), forMs);
          cluster.cutLink(worker.machine.name() + ">" + node, forMs);
        }
      }
    }
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Workers can't open connections to any controller, while direct commands still reach them. */
  @Test
  void machinesThatReachNobodyAreNotStartedOnTwice() {
    SimulatedCluster cluster = new SimulatedCluster(4);
    List<Job> jobs = services(cluster, 5);
    cluster.run(25);
    cluster.workers().forEach(worker -> cluster.cutLinksFrom(worker.machine.name(), 25_000));
    cluster.schedule(3000, () -> cluster.cancel(jobs.get(0).uid()));
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Jobs of two or three tasks end far apart across a change of leader. */
  @ParameterizedTest
  @ValueSource(ints = {0, 200, 500, 900, 1500, 2200, 3000})
  void tasksThatEndFarApart(int afterMs) {
    SimulatedCluster cluster = new SimulatedCluster(6);
    cluster.cloud.defaultStock = 1;
    cluster.cloud.stockByKind.put(new MachineKind("g4", "b", false), 0);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      jobs.add(TestFixtures.job(i, JobKind.ARRAY, 3, 2));
    }
    jobs.forEach(cluster::submit);
    cluster.run(16);
    cluster.schedule(afterMs, () -> crashLeader(cluster, 2000));
    cluster.schedule(9000 + afterMs, () -> crashLeader(cluster, 2000));
    cluster.run(40);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** A zone with workers and a controller is cut off for longer than a lease. */
  @ParameterizedTest
  @ValueSource(ints = {5000, 12_000, 25_000, 40_000})
  void aZoneIsCutOff(int forMs) {
    for (String inside : List.of("roost-0", "roost-1", "roost-2")) {
      SimulatedCluster cluster = new SimulatedCluster(5);
      List<Job> jobs = services(cluster, 6);
      Job spread = TestFixtures.job(20, JobKind.SERVICE, 4, 1, "blue", Priority.HIGH, true, false);
      jobs.add(spread);
      cluster.submit(spread);
      cluster.run(25);
      cluster.isolateZone("b", inside, forMs);
      cluster.schedule(1000, () -> cluster.cancel(jobs.get(0).uid()));
      cluster.run(60);
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    }
  }

  /** Jobs bound to one zone, arrays too, lose machines. */
  @ParameterizedTest
  @MethodSource("seeds")
  void jobsBoundToOneZoneLoseMachines(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      jobs.add(inOneZone(i, i % 2 == 0 ? JobKind.ARRAY : JobKind.SERVICE, 4, i > 4 ? "b" : null));
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

  private static Job inOneZone(int number, JobKind kind, int tasks, String zone) {
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

  /** A store that answers slowly, or refuses one node, while users cancel and ask. */
  @ParameterizedTest
  @MethodSource("seeds")
  void aSlowStateServiceAndThenARefusal(long seed) {
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
