package eiderfork.model;

import java.util.HashSet;
import java.util.Set;

/** The bound on the plain form of an {@link StoredRecord.Alloc}, which every version reads. */
public final class PlainAllocationSize implements AllocationSize {
  /** Braces, field names, the last attempt and the mark of a job that is done. */
  private static final int FRAME_BYTES = 96;

  /** Quotes, colon, braces and comma around an attempt or a machine. */
  private static final int DELIMITER_BYTES = 6;

  /** Characters of a bitmap say six tasks each. */
  private static final int TASKS_PER_CHARACTER = 6;

  /** The share of a value that is used, for what a store may count beside the text. */
  private static final double USABLE_VALUE_SHARE = 0.95;

  private final int tasks;
  private final int finishedRanges;
  private final Set<Long> attempts = new HashSet<>();
  private final Set<String> machineGroups = new HashSet<>();
  private int reservations;
  private int groupBytes;

  /**
   * Begins with a record that reserves nothing.
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
    return totalBytes(reservations + 1, groupBytes + additionalBytes)
        <= valueKb * 1024 * USABLE_VALUE_SHARE;
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

  /** Whether values of this size let a job of that many tasks run at all, one by one. */
  public static boolean canFitOneReservation(int tasks, int nameBytes, double valueKb) {
    return new PlainAllocationSize(tasks, 1)
        .fits(0, Long.MAX_VALUE, "m".repeat(nameBytes), valueKb);
  }

  private static int digits(long number) {
    return Long.toString(number).length();
  }
}
