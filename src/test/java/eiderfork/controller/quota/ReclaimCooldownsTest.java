package eiderfork.controller.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Resources;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Room that was reclaimed is not lent again too soon, nor for ever kept. */
class ReclaimCooldownsTest {
  private static final long FIRST_MS = 40_000;
  private static final long HOUR_MS = 3_600_000;
  private static final Resources ROOM = new Resources(4, 1, 16);

  private final ReclaimCooldowns cooldowns = new ReclaimCooldowns();

  private void reclaim(long nowMs) {
    cooldowns.recordReclaim("n-1", "taker", ROOM, nowMs, FIRST_MS, false);
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
    cooldowns.recordReclaim("n-1", "taker", ROOM, 0, FIRST_MS, true);
    assertTrue(cooldowns.isCoolingDown("n-1", 2 * FIRST_MS - 1));
    assertFalse(cooldowns.isCoolingDown("n-2", 0));
  }

  /** What the taker holds is its own; what it has left is kept, and no more than that. */
  @Test
  void onlyRoomThatTakersHaveLeftIsKept() {
    reclaim(0);
    cooldowns.recordReclaim("n-1", "other", ROOM, 0, FIRST_MS, false);
    assertEquals(Resources.NONE, cooldowns.withheld("n-1", 1, uid -> true));
    assertEquals(ROOM, cooldowns.withheld("n-1", 1, uid -> uid.equals("other")));
    assertEquals(ROOM.times(2), cooldowns.withheld("n-1", 1, uid -> false));
    assertEquals(Resources.NONE, cooldowns.withheld("n-1", FIRST_MS, uid -> false));
  }

  /** The stated bound: a rush that comes back as soon, or as late, as does most harm. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void reversalsInAnHourStayWithinTheBound(long seed) {
    Random random = new Random(seed);
    double bound = ReclaimCooldowns.maxReversals(HOUR_MS / 1000.0, FIRST_MS / 1000.0);
    for (int history = 0; history < 200; history++) {
      ReclaimCooldowns it = new ReclaimCooldowns();
      long mostGapMs = 1000 + random.nextLong(900_000);
      int reversals = 0;
      long rushMs = 0;
      for (long nowMs = 0; nowMs < HOUR_MS; nowMs += 1000) {
        it.decay(nowMs);
        // The room is lent again as soon as it may be, and the rush takes it when it comes.
        if (nowMs >= rushMs && !it.isCoolingDown("n-1", nowMs)) {
          it.recordReclaim("n-1", "taker", ROOM, nowMs, FIRST_MS, false);
          reversals++;
          rushMs = nowMs + 1000 + random.nextLong(mostGapMs);
        }
      }
      assertTrue(reversals <= bound, reversals + " reversals, at most " + bound);
    }
  }
}
