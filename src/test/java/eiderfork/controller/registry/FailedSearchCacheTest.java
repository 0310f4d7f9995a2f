package eiderfork.controller.registry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.TestFixtures;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import org.junit.jupiter.api.Test;

/** Tests which searches of other jobs a failed search rules out. */
class FailedSearchCacheTest {
  private static Job job(double gpus, boolean spot) {
    return TestFixtures.job(1, JobKind.SERVICE, 1, gpus, "blue", Priority.HIGH, false, spot);
  }

  @Test
  void tasksOfTheSameOrALargerSizeAreRuledOutAndNoOthers() {
    FailedSearchCache failedSearches = new FailedSearchCache();
    failedSearches.recordFailure(job(2, false), "a");
    assertTrue(failedSearches.isRuledOut(job(2, false), "a"));
    assertTrue(failedSearches.isRuledOut(job(3, false), "a"), "a larger task of the same kind");
    assertFalse(failedSearches.isRuledOut(job(1, false), "a"), "a smaller one may fit");
    assertFalse(failedSearches.isRuledOut(job(2, true), "a"), "spot machines were not searched");
    assertFalse(failedSearches.isRuledOut(job(2, false), "b"));
    failedSearches.clear();
    assertFalse(failedSearches.isRuledOut(job(2, false), "a"));
  }
}
