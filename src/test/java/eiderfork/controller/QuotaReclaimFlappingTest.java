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

/** A rush that stops and starts does not make borrowed work go to and fro. */
class QuotaReclaimFlappingTest {
  private static final double BOOT_S = 40;
  private static final double FLAPS_S = 1200;
  private static final int GPUS = 4;

  /** A gang that alone borrows is not stopped by each of the rushes that come every minute. */
  @Test
  void aGangIsNotStoppedAgainAndAgain() {
    QuotaCluster w = QuotaCluster.on(19, BOOT_S);
    w.submit(QuotaCluster.array(1, 4, 4 * FLAPS_S, 15, QuotaCluster.NIGHT));
    Job gang = w.submit(QuotaCluster.gang(2, 8, 4 * FLAPS_S, 15, QuotaCluster.LAB));
    w.world.run(25);
    assertEquals(8, w.running(gang));
    for (int i = 0; i < FLAPS_S / 60; i++) {
      Job rush = QuotaCluster.replicas(100 + i, 8, QuotaCluster.DESK);
      w.world.at(i * 60_000L, () -> w.submit(rush));
      w.world.at(i * 60_000L + 25_000, () -> w.world.abort(rush.uid()));
    }
    w.world.run(FLAPS_S);
    double most = ReclaimCooldowns.mostReversals(FLAPS_S, BOOT_S);
    assertTrue(w.world.progress.mostStopsOfATask() <= most, "stops of one task");
    w.world.run(400);
    assertEquals(8, w.running(gang));
    ExpectedOutcome.rulesHold(w.world);
  }

  /** Columns: the rush's period in seconds, its share of it, and how often leaders end. */
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
  void movesStayWithinTheStatedBound(double periodS, double share, int leaderEnds) {
    QuotaCluster w = QuotaCluster.on(17 + (long) periodS, BOOT_S);
    Job night = w.filledByNight(4 * FLAPS_S, 15);
    Map<String, Integer> stops = new HashMap<>();
    w.world.progress.onStop =
        (worker, attempt) -> {
          if (attempt.task().job().equals(night.uid())) {
            stops.merge(worker.machine.name(), 1, Integer::sum);
          }
        };
    int rushes = (int) (FLAPS_S / periodS);
    for (int i = 0; i < rushes; i++) {
      Job rush = QuotaCluster.replicas(100 + i, 8, QuotaCluster.DESK);
      long beginsMs = (long) (i * periodS * 1000);
      w.world.at(beginsMs, () -> w.submit(rush));
      w.world.at(beginsMs + (long) (periodS * share * 1000), () -> w.world.abort(rush.uid()));
    }
    for (int i = 1; i <= leaderEnds; i++) {
      long endsMs = (long) (FLAPS_S * 1000 * i / (leaderEnds + 1));
      w.world.at(endsMs, () -> w.world.crash(w.leader(), 2000));
    }
    w.world.run(FLAPS_S);
    double firstS = BOOT_S;
    double reversals = ReclaimCooldowns.mostReversals(FLAPS_S, firstS) + leaderEnds;
    for (Map.Entry<String, Integer> each : stops.entrySet()) {
      assertTrue(
          each.getValue() <= GPUS * reversals, () -> each + " stops, at most " + GPUS * reversals);
    }
    ExpectedOutcome.rulesHold(w.world);
    w.world.run(400);
    assertEquals(16, w.running(night), "it has all of its room back");
    ExpectedOutcome.rulesHold(w.world);
  }
}
