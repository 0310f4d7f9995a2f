package eiderfork.controller.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Resources;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reclaimed capacity is not borrowed again too soon, nor withheld for ever. */
class ReclaimCooldownsTest {
  private static final long FIRST_MS = 40_000;
  private static final long HOUR_MS = 3_600_000;
  private static final Resources RECLAIMED = new Resources(4, 1, 16);

  private final ReclaimCooldowns cooldowns = new ReclaimCooldowns();

  private void reclaim(long nowMs) {
    cooldowns.recordReclaim("n-1", "preemptor", RECLAIMED, nowMs, FIRST_MS, false);
  }

  @Test
  void theTimeDoublesWithEachReversalUpToABound() {
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
  void reversalsFade() {
    reclaim(0);
    cooldowns.decay(ReclaimCooldowns.DECAY_COOLDOWNS * FIRST_MS);
    long laterMs = HOUR_MS;
    reclaim(laterMs);
    assertFalse(cooldowns.isCoolingDown("n-1", laterMs + FIRST_MS), "as the first time");
  }

  /** A loan that was shorter than its start and save take counts twice. */
  @Test
  void aShortLoanDoublesTheTimeAtOnce() {
    cooldowns.recordReclaim("n-1", "preemptor", RECLAIMED, 0, FIRST_MS, true);
    assertTrue(cooldowns.isCoolingDown("n-1", 2 * FIRST_MS - 1));
    assertFalse(cooldowns.isCoolingDown("n-2", 0));
  }

  /** What the preemptor uses is its own; what it has left is withheld, and no more than that. */
  @Test
  void onlyCapacityThatPreemptorsDoNotUseIsWithheld() {
    reclaim(0);
    cooldowns.recordReclaim("n-1", "other", RECLAIMED, 0, FIRST_MS, false);
    assertEquals(Resources.NONE, cooldowns.withheld("n-1", 1, uid -> true));
    assertEquals(RECLAIMED, cooldowns.withheld("n-1", 1, uid -> uid.equals("other")));
    assertEquals(RECLAIMED.times(2), cooldowns.withheld("n-1", 1, uid -> false));
    assertEquals(Resources.NONE, cooldowns.withheld("n-1", FIRST_MS, uid -> false));
  }

  /** The stated bound, with demand that comes back at random times. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void reversalsInAnHourStayWithinTheBound(long seed) {
    Random random = new Random(seed);
    double bound = ReclaimCooldowns.maxReversals(HOUR_MS / 1000.0, FIRST_MS / 1000.0);
    for (int history = 0; history < 200; history++) {
      ReclaimCooldowns machineCooldowns = new ReclaimCooldowns();
      long mostGapMs = 1000 + random.nextLong(900_000);
      int reversals = 0;
      long nextReclaimMs = 0;
      for (long nowMs = 0; nowMs < HOUR_MS; nowMs += 1000) {
        machineCooldowns.decay(nowMs);
        // The capacity is borrowed again as soon as it may be, and reclaimed when demand comes.
        if (nowMs >= nextReclaimMs && !machineCooldowns.isCoolingDown("n-1", nowMs)) {
          machineCooldowns.recordReclaim("n-1", "preemptor", RECLAIMED, nowMs, FIRST_MS, false);
          reversals++;
          nextReclaimMs = nowMs + 1000 + random.nextLong(mostGapMs);
        }
      }
      assertTrue(reversals <= bound, reversals + " reversals, at most " + bound);
    }
  }
}
