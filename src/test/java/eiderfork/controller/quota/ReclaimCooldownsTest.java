package eiderfork.controller.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Resources;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that reclaimed capacity is withheld from borrowers for a bounded time. */
class ReclaimCooldownsTest {
  private static final long FIRST_COOLDOWN_MS = 40_000;
  private static final long HOUR_MS = 3_600_000;
  private static final Resources RECLAIMED = new Resources(4, 1, 16);

  private final ReclaimCooldowns cooldowns = new ReclaimCooldowns();

  private void reclaim(long nowMs) {
    cooldowns.recordReclaim("n-1", "preemptor", RECLAIMED, nowMs, FIRST_COOLDOWN_MS, false);
  }

  @Test
  void theCooldownDoublesWithEachReversalUpToABound() {
    long nowMs = 0;
    for (long expectedMs : new long[] {40_000, 80_000, 160_000, 320_000, 320_000}) {
      reclaim(nowMs);
      reclaim(nowMs + 1000);
      assertTrue(cooldowns.isCoolingDown("n-1", nowMs + expectedMs - 1));
      assertFalse(cooldowns.isCoolingDown("n-1", nowMs + expectedMs));
      nowMs += expectedMs;
    }
  }

  @Test
  void reversalsExpire() {
    reclaim(0);
    cooldowns.decay(ReclaimCooldowns.DECAY_COOLDOWNS * FIRST_COOLDOWN_MS);
    long laterMs = HOUR_MS;
    reclaim(laterMs);
    assertFalse(
        cooldowns.isCoolingDown("n-1", laterMs + FIRST_COOLDOWN_MS),
        "the first cooldown applies again");
  }

  /** A loan shorter than the start and save of its borrower counts as two reversals. */
  @Test
  void aShortLoanDoublesTheFirstCooldown() {
    cooldowns.recordReclaim("n-1", "preemptor", RECLAIMED, 0, FIRST_COOLDOWN_MS, true);
    assertTrue(cooldowns.isCoolingDown("n-1", 2 * FIRST_COOLDOWN_MS - 1));
    assertFalse(cooldowns.isCoolingDown("n-2", 0));
  }

  /** Only reclaimed capacity that its preemptor no longer holds is withheld. */
  @Test
  void onlyCapacityThatPreemptorsDoNotHoldIsWithheld() {
    reclaim(0);
    cooldowns.recordReclaim("n-1", "other", RECLAIMED, 0, FIRST_COOLDOWN_MS, false);
    assertEquals(Resources.NONE, cooldowns.withheld("n-1", 1, uid -> true));
    assertEquals(RECLAIMED, cooldowns.withheld("n-1", 1, uid -> uid.equals("other")));
    assertEquals(RECLAIMED.times(2), cooldowns.withheld("n-1", 1, uid -> false));
    assertEquals(Resources.NONE, cooldowns.withheld("n-1", FIRST_COOLDOWN_MS, uid -> false));
  }

  /** Tests the documented bound with demand that returns at random times. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void reversalsInAnHourStayWithinTheBound(long seed) {
    Random random = new Random(seed);
    double bound = ReclaimCooldowns.maxReversals(HOUR_MS / 1000.0, FIRST_COOLDOWN_MS / 1000.0);
    for (int run = 0; run < 200; run++) {
      ReclaimCooldowns machineCooldowns = new ReclaimCooldowns();
      long maxGapMs = 1000 + random.nextLong(900_000);
      int reversals = 0;
      long nextReclaimMs = 0;
      for (long nowMs = 0; nowMs < HOUR_MS; nowMs += 1000) {
        machineCooldowns.decay(nowMs);
        // The capacity is borrowed again as soon as allowed and reclaimed when demand returns.
        if (nowMs >= nextReclaimMs && !machineCooldowns.isCoolingDown("n-1", nowMs)) {
          machineCooldowns.recordReclaim(
              "n-1", "preemptor", RECLAIMED, nowMs, FIRST_COOLDOWN_MS, false);
          reversals++;
          nextReclaimMs = nowMs + 1000 + random.nextLong(maxGapMs);
        }
      }
      assertTrue(reversals <= bound, reversals + " reversals, at most " + bound);
    }
  }
}
