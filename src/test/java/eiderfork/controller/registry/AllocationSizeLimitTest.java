package eiderfork.controller.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.TestFixtures;
import eiderfork.model.JobKind;
import org.junit.jupiter.api.Test;

/** Tests that a reservation fits only if its record can be written now and under later limits. */
class AllocationSizeLimitTest {
  private static final int TASKS = 1000;

  /** The number of tasks on separate machines that may be reserved at once. */
  private static int maxReservableTasks(double plainKb, double packedKb) {
    var job = TestFixtures.job(1, JobKind.ARRAY, TASKS, 1);
    JobState state = TestFixtures.jobState(job);
    AllocationSizeLimit limit = new AllocationSizeLimit(state, plainKb, packedKb, false);
    int count = 0;
    while (count < TASKS && limit.fits(count, 1, "n-%06d".formatted(count))) {
      limit.add(count, 1, "n-%06d".formatted(count));
      count++;
    }
    return count;
  }

  @Test
  void plainAndPackedFormsMustFitWhileThePlainOneIsWritten() {
    int plain = maxReservableTasks(2, Double.POSITIVE_INFINITY);
    int packed = maxReservableTasks(Double.POSITIVE_INFINITY, 2);
    assertTrue(0 < plain && plain < packed && packed < TASKS, plain + " and " + packed);
    assertEquals(plain, maxReservableTasks(2, 2));
    assertEquals(packed, maxReservableTasks(64, 2));
    assertEquals(
        packed, maxReservableTasks(Double.POSITIVE_INFINITY, 2), "only the packed form is written");
  }
}
