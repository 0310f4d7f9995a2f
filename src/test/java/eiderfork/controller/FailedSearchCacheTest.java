package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import org.junit.jupiter.api.Test;

/** What a proof of no room says of other jobs. */
class FailedSearchCacheTest {
  private static Job job(double gpus, boolean spot) {
    return TestFixtures.job(1, JobKind.SERVICE, 1, gpus, "blue", Priority.HIGH, false, spot);
  }

  @Test
  void whatTakesAsMuchFindsNoRoomEitherAndNothingElseIsRuledOut() {
    FailedSearchCache proved = new FailedSearchCache();
    proved.recordFailure(job(2, false), "a");
    assertTrue(proved.isRuledOut(job(2, false), "a"));
    assertTrue(proved.isRuledOut(job(3, false), "a"), "a larger task of the same kind");
    assertFalse(proved.isRuledOut(job(1, false), "a"), "a smaller one may fit");
    assertFalse(proved.isRuledOut(job(2, true), "a"), "spot machines were not searched");
    assertFalse(proved.isRuledOut(job(2, false), "b"));
    proved.clear();
    assertFalse(proved.isRuledOut(job(2, false), "a"));
  }
}
