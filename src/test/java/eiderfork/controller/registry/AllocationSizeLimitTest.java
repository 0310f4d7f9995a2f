package eiderfork.controller.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.TestFixtures;
import eiderfork.model.JobKind;
import org.junit.jupiter.api.Test;

/** A reservation is made only where its record can be written now and under the limits to come. */
class AllocationSizeLimitTest {
  private static final int TASKS = 1000;

  /** How many tasks on machines of their own may be reserved at once. */
  private static int reservable(double plainKb, double packedKb) {
    var job = TestFixtures.job(1, JobKind.ARRAY, TASKS, 1);
    JobState entry = TestFixtures.jobState(job);
    AllocationSizeLimit room = new AllocationSizeLimit(entry, plainKb, packedKb, false);
    int count = 0;
    while (count < TASKS && room.fits(count, 1, "n-%06d".formatted(count))) {
      room.add(count, 1, "n-%06d".formatted(count));
      count++;
    }
    return count;
  }

  @Test
  void plainAndPackedFormsMustFitWhileThePlainOneIsWritten() {
    int plain = reservable(2, Double.POSITIVE_INFINITY);
    int packed = reservable(Double.POSITIVE_INFINITY, 2);
    assertTrue(0 < plain && plain < packed && packed < TASKS, plain + " and " + packed);
    assertEquals(plain, reservable(2, 2));
    assertEquals(packed, reservable(64, 2));
    assertEquals(packed, reservable(Double.POSITIVE_INFINITY, 2), "only the packed one is written");
  }
}
