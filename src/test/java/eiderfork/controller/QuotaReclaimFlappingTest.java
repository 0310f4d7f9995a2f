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

/** Demand that comes and goes does not preempt borrowed work again and again. */
class QuotaReclaimFlappingTest {
  private static final double BOOT_S = 40;
  private static final double FLAPPING_S = 1200;
  private static final int GPUS_PER_MACHINE = 4;

  /** A gang that is the only borrower is not preempted by each of the peaks of every minute. */
  @Test
  void aGangIsNotPreemptedAtEachPeak() {
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

  /** Columns: the period of the peaks in seconds, their share of it, and how often leaders end. */
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
  void reclaimsStayWithinTheStatedBound(double periodS, double share, int leaderEnds) {
    QuotaCluster scenario = QuotaCluster.withBorrowing(17 + (long) periodS, BOOT_S);
    Job night = scenario.fillWithNightArray(4 * FLAPPING_S, 15);
    Map<String, Integer> stops = new HashMap<>();
    scenario.cluster.progress.onStop =
        (worker, attempt) -> {
          if (attempt.task().jobUid().equals(night.uid())) {
            stops.merge(worker.machine.name(), 1, Integer::sum);
          }
        };
    int peaks = (int) (FLAPPING_S / periodS);
    for (int i = 0; i < peaks; i++) {
      Job peak = QuotaCluster.replicas(100 + i, 8, QuotaCluster.DESK);
      long beginsMs = (long) (i * periodS * 1000);
      scenario.cluster.schedule(beginsMs, () -> scenario.submit(peak));
      scenario.cluster.schedule(
          beginsMs + (long) (periodS * share * 1000), () -> scenario.cluster.cancel(peak.uid()));
    }
    for (int i = 1; i <= leaderEnds; i++) {
      long endsMs = (long) (FLAPPING_S * 1000 * i / (leaderEnds + 1));
      scenario.cluster.schedule(endsMs, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
    }
    scenario.cluster.run(FLAPPING_S);
    double reversals = ReclaimCooldowns.maxReversals(FLAPPING_S, BOOT_S) + leaderEnds;
    for (Map.Entry<String, Integer> each : stops.entrySet()) {
      assertTrue(
          each.getValue() <= GPUS_PER_MACHINE * reversals,
          () -> each + " stops, at most " + GPUS_PER_MACHINE * reversals);
    }
    ExpectedOutcome.assertNoViolations(scenario.cluster);
    scenario.cluster.run(400);
    assertEquals(16, scenario.runningTasks(night), "it has all of its capacity back");
    ExpectedOutcome.assertNoViolations(scenario.cluster);
  }
}
