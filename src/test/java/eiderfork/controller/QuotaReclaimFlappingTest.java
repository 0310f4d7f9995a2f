package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.quota.ReclaimCooldowns;
import eiderfork.model.Job;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that demand which rises and falls repeatedly does not preempt borrowed work each time. */
class QuotaReclaimFlappingTest {
  private static final double BOOT_S = 40;
  private static final double FLAPPING_S = 1200;
  private static final int GPUS_PER_MACHINE = 4;

  /**
   * Demand peaks once per minute, and not every peak preempts the gang that is the only borrower.
   */
  @Test
  void gangIsNotPreemptedAtEachPeak() {
    QuotaCluster scenario = QuotaCluster.withBorrowing(19, BOOT_S);
    scenario.submit(QuotaCluster.array(1, 4, 4 * FLAPPING_S, 15, QuotaCluster.NIGHT));
    Job gang = scenario.submit(QuotaCluster.gang(2, 8, 4 * FLAPPING_S, 15, QuotaCluster.LAB));
    scenario.cluster.run(25);
    assertEquals(8, scenario.runningTasks(gang));
    for (int i = 0; i < FLAPPING_S / 60; i++) {
      Job peak = QuotaCluster.replicas(100 + i, 8, QuotaCluster.DESK);
      scenario.cluster.schedule(i * 60_000L, () -> scenario.submit(peak));
      scenario.cluster.schedule(i * 60_000L + 25_000, () -> scenario.cluster.cancel(peak.uid()));
    }
    scenario.cluster.run(FLAPPING_S);
    double maxReversals = ReclaimCooldowns.maxReversals(FLAPPING_S, BOOT_S);
    assertTrue(scenario.cluster.progress.maxStopsPerTask() <= maxReversals, "stops of one task");
    scenario.cluster.run(400);
    assertEquals(8, scenario.runningTasks(gang));
    ExpectedOutcome.assertNoViolations(scenario.cluster);
  }

  /**
   * Columns: the period of the demand peaks in seconds, the share of the period that a peak takes,
   * and the number of leader crashes.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 0.5, 0",
    "2, 0.5, 0",
    "5, 0.5, 0",
    "10, 0.5, 0",
    "20, 0.7, 0",
    "45, 0.5, 0",
    "60, 0.3, 0",
    "90, 0.5, 0",
    "180, 0.5, 0",
    "300, 0.2, 0",
    "2, 0.5, 1",
    "20, 0.5, 1",
    "60, 0.5, 1",
    "90, 0.5, 2",
    "180, 0.5, 2"
  })
  void stopsPerMachineStayWithinTheBound(double periodS, double peakShare, int leaderCrashes) {
    QuotaCluster scenario = QuotaCluster.withBorrowing(17 + (long) periodS, BOOT_S);
    Job night = scenario.fillWithNightArray(4 * FLAPPING_S, 15);
    Map<String, Integer> stopsByMachine = new HashMap<>();
    scenario.cluster.progress.onStop =
        (worker, attempt) -> {
          if (attempt.task().jobUid().equals(night.uid())) {
            stopsByMachine.merge(worker.machine.name(), 1, Integer::sum);
          }
        };
    int peakCount = (int) (FLAPPING_S / periodS);
    for (int i = 0; i < peakCount; i++) {
      Job peak = QuotaCluster.replicas(100 + i, 8, QuotaCluster.DESK);
      long peakStartMs = (long) (i * periodS * 1000);
      scenario.cluster.schedule(peakStartMs, () -> scenario.submit(peak));
      scenario.cluster.schedule(
          peakStartMs + (long) (periodS * peakShare * 1000),
          () -> scenario.cluster.cancel(peak.uid()));
    }
    for (int i = 1; i <= leaderCrashes; i++) {
      long crashAtMs = (long) (FLAPPING_S * 1000 * i / (leaderCrashes + 1));
      scenario.cluster.schedule(
          crashAtMs, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
    }
    scenario.cluster.run(FLAPPING_S);
    double maxReversals = ReclaimCooldowns.maxReversals(FLAPPING_S, BOOT_S) + leaderCrashes;
    for (Map.Entry<String, Integer> entry : stopsByMachine.entrySet()) {
      assertTrue(
          entry.getValue() <= GPUS_PER_MACHINE * maxReversals,
          () -> entry + " stops on a machine, at most " + GPUS_PER_MACHINE * maxReversals);
    }
    ExpectedOutcome.assertNoViolations(scenario.cluster);
    scenario.cluster.run(400);
    assertEquals(16, scenario.runningTasks(night), "running tasks after the last peak");
    ExpectedOutcome.assertNoViolations(scenario.cluster);
  }
}
