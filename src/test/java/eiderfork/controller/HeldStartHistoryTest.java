package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.config.Settings;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random histories in which the network holds commands back: between the zones, again and again,
 * and between controllers and single machines. Jobs of all kinds are submitted and cancelled
 * meanwhile. {@link HeldStartTest} describes the fault that this once caused.
 *
 * <p>The system properties {@code held.from} and {@code held.to} select other seeds.
 */
class HeldStartHistoryTest {
  private static final int[] NODE_COUNTS = {4, 5, 7};
  private static final int WARM_UP_S = 35;
  private static final int FAULT_PERIOD_MS = 150_000;
  private static final int JOB_COUNT = 90;
  private static final int LINK_INTERRUPTION_COUNT = 8;
  private static final int NODE_FAULT_COUNT = 6;

  static LongStream seeds() {
    return LongStream.rangeClosed(Long.getLong("held.from", 1), Long.getLong("held.to", 40));
  }

  private static SimulatedCluster newCluster(long seed) {
    Settings base =
        seed % 3 == 0 ? TestFixtures.longLeaseSettings() : TestFixtures.settings("roost-0");
    Settings withLending = TestFixtures.withLending(base, seed % 2 == 0);
    Settings settings = TestFixtures.withStandbys(withLending, seed % 5 == 0 ? 1 : 0);
    int nodeCount = NODE_COUNTS[(int) (seed % NODE_COUNTS.length)];
    SimulatedCluster cluster = new SimulatedCluster(seed, settings, nodeCount);
    cluster.cachesImages = true;
    return cluster;
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noViolationsWhileCommandsAreHeldBack(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    List<Job> jobs = new ArrayList<>(LeaseProxyTest.runSpreadServices(cluster, 4));
    Random script = new Random(seed * 47);
    interruptZonesRepeatedly(cluster, script);
    submitAndCancelJobs(cluster, script, jobs);
    for (int i = 0; i < LINK_INTERRUPTION_COUNT; i++) {
      cluster.schedule(
          script.nextInt(FAULT_PERIOD_MS), () -> interruptLinkToMachine(cluster, script));
    }
    for (int i = 0; i < NODE_FAULT_COUNT; i++) {
      cluster.schedule(script.nextInt(FAULT_PERIOD_MS), () -> injectNodeFault(cluster, script));
    }
    cluster.run(FAULT_PERIOD_MS / 1000.0 + WARM_UP_S);
    assertTrue(cluster.checker.startCount > JOB_COUNT);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** Interrupts the network between the zones for seconds to a minute, with gaps in between. */
  private static void interruptZonesRepeatedly(SimulatedCluster cluster, Random script) {
    long startMs = 0;
    while (startMs < FAULT_PERIOD_MS) {
      long durationMs =
          script.nextInt(3) == 0 ? 500 + script.nextInt(8000) : 20_000 + script.nextInt(40_000);
      cluster.schedule(startMs, () -> cluster.interruptZones(durationMs));
      startMs += durationMs + 100 + script.nextInt(script.nextInt(3) == 0 ? 8000 : 1200);
    }
  }

  private static void submitAndCancelJobs(SimulatedCluster cluster, Random script, List<Job> jobs) {
    for (int i = 0; i < JOB_COUNT; i++) {
      Job job = job(script, 11 + i);
      jobs.add(job);
      long submitMs = script.nextInt(FAULT_PERIOD_MS);
      cluster.schedule(submitMs, () -> cluster.submit(job));
      if (script.nextInt(4) != 0) {
        long waitMs = 300 + script.nextInt(script.nextInt(2) == 0 ? 2500 : 30_000);
        cluster.schedule(submitMs + waitMs, () -> cluster.cancel(job.uid()));
      }
    }
  }

  private static Job job(Random script, int number) {
    return switch (script.nextInt(4)) {
      case 0 -> TestFixtures.gang(number, 2 + script.nextInt(2), 1, 4, script.nextBoolean());
      case 1 ->
          TestFixtures.withRunTime(
              TestFixtures.job(
                  number,
                  JobKind.ARRAY,
                  1 + script.nextInt(4),
                  script.nextInt(2),
                  "blue",
                  Priority.STANDARD,
                  false,
                  false),
              3 + script.nextDouble() * 20);
      default ->
          TestFixtures.job(
              number, JobKind.SERVICE, 2, 0, "blue", Priority.HIGH, script.nextBoolean(), false);
    };
  }

  /** Holds back what a controller sends to one machine, in half of the cases also its answers. */
  private static void interruptLinkToMachine(SimulatedCluster cluster, Random script) {
    List<FakeWorker> workers = cluster.workers();
    if (workers.isEmpty()) {
      return;
    }
    String machine = workers.get(script.nextInt(workers.size())).machine.name();
    String node = cluster.leader() == null ? "roost-0" : cluster.leader();
    long durationMs = 5000 + script.nextInt(50_000);
    cluster.interruptLink(node + ">" + machine, durationMs);
    if (script.nextBoolean()) {
      cluster.interruptLink(machine + ">" + node, durationMs);
    }
  }

  private static void injectNodeFault(SimulatedCluster cluster, Random script) {
    String anyNode = "roost-" + script.nextInt(cluster.nodeCount);
    String node = script.nextBoolean() && cluster.leader() != null ? cluster.leader() : anyNode;
    int durationMs = 500 + script.nextInt(12_000);
    switch (script.nextInt(4)) {
      case 0 -> cluster.freezeNode(node, durationMs);
      case 1 -> cluster.refuseStoreRequests(node, durationMs);
      default -> cluster.crashNode(node, Math.min(durationMs, 5000));
    }
  }
}
