package eiderfork.model;

import java.util.HashSet;
import java.util.Set;

/** The bound on the plain form of an {@link StoredRecord.Allocation}, which every version reads. */
public final class PlainAllocationSize implements AllocationSize {
  /** Braces, field names, the last attempt and whether the job is done. */
  private static final int FRAME_BYTES = 96;

  /** Quotes, colon, braces and comma around an attempt or a machine. */
  private static final int DELIMITER_BYTES = 6;

  /** A character of a bitmap holds six tasks. */
  private static final int TASKS_PER_CHARACTER = 6;

  private final int tasks;
  private final int finishedRanges;
  private final Set<Long> attempts = new HashSet<>();
  private final Set<String> machineGroups = new HashSet<>();
  private int reservations;
  private int groupBytes;

  /**
   * Begins with a record without reservations.
   *
   * @param tasks how many tasks the job has
   * @param finishedRanges how many separate ranges of its tasks have finished
   */
  public PlainAllocationSize(int tasks, int finishedRanges) {
    this.tasks = tasks;
    this.finishedRanges = finishedRanges;
  }

  @Override
  public void add(int index, long attempt, String machine) {
    reservations++;
    if (attempts.add(attempt)) {
      groupBytes += digits(attempt) + DELIMITER_BYTES;
    }
    if (machineGroups.add(attempt + " " + machine)) {
      groupBytes += machine.length() + DELIMITER_BYTES;
    }
  }

  @Override
  public boolean fits(int index, long attempt, String machine, double valueKb) {
    int additionalBytes = digits(attempt) + machine.length() + 2 * DELIMITER_BYTES;
    return ValueLimit.fitsText(totalBytes(reservations + 1, groupBytes + additionalBytes), valueKb);
  }

  /**
   * A run of tasks takes no more than the tasks alone, so it does not matter how they end. Each may
   * end between two that go on; the finished ones are ranges or a bitmap, whichever is shorter.
   */
  private double totalBytes(int reservationCount, int groupsTakeBytes) {
    int indexBytes = digits(tasks) + 1;
    double finishedBytes =
        Math.min(
            (double) tasks / TASKS_PER_CHARACTER + DELIMITER_BYTES,
            (finishedRanges + reservationCount + 1.0) * 2 * indexBytes);
    return FRAME_BYTES + groupsTakeBytes + (double) reservationCount * indexBytes + finishedBytes;
  }

  /** Whether a value of this size holds one reservation of a job with that many tasks. */
  public static boolean canFitOneReservation(int tasks, int nameBytes, double valueKb) {
    return new PlainAllocationSize(tasks, 1)
        .fits(0, Long.MAX_VALUE, "m".repeat(nameBytes), valueKb);
  }

  private static int digits(long number) {
    return Long.toString(number).length();
  }
}
