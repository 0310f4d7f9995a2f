package eiderfork.model;

import java.util.HashSet;
import java.util.Set;

/**
 * The size bound for the plain encoding of an {@link StoredRecord.Allocation}, which all versions
 * can read.
 */
public final class PlainAllocationSize implements AllocationSize {
  /** Braces, field names, the last attempt and the flag of a completed job. */
  private static final int FRAME_BYTES = 96;

  /** Quotes, colon, braces and comma around an attempt or a machine. */
  private static final int DELIMITER_BYTES = 6;

  /** The number of tasks that a character of a Base64 bitmap encodes. */
  private static final int TASKS_PER_CHARACTER = 6;

  private final int tasks;
  private final int finishedRanges;
  private final Set<Long> attempts = new HashSet<>();
  private final Set<String> machineGroups = new HashSet<>();
  private int reservations;
  private int groupBytes;

  /**
   * Creates the bound for a record without reservations.
   *
   * @param tasks the number of tasks of the job
   * @param finishedRanges the number of separate ranges of finished tasks
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
   * Returns the bound for a record with so many reservations. A run of tasks takes no more than its
   * tasks as separate runs, so the bound holds in whatever order tasks end. Each reserved task may
   * add a finished range, if it ends before the tasks on both sides of it. Finished tasks are
   * stored as ranges or as a bitmap, whichever is shorter.
   */
  private double totalBytes(int reservationCount, int allGroupBytes) {
    int indexBytes = digits(tasks) + 1;
    double finishedBytes =
        Math.min(
            (double) tasks / TASKS_PER_CHARACTER + DELIMITER_BYTES,
            (finishedRanges + reservationCount + 1.0) * 2 * indexBytes);
    return FRAME_BYTES + allGroupBytes + (double) reservationCount * indexBytes + finishedBytes;
  }

  /** Returns whether a value of this size can store a reservation of a job with so many tasks. */
  public static boolean canFitOneReservation(int tasks, int nameBytes, double valueKb) {
    return new PlainAllocationSize(tasks, 1)
        .fits(0, Long.MAX_VALUE, "m".repeat(nameBytes), valueKb);
  }

  private static int digits(long number) {
    return Long.toString(number).length();
  }
}
