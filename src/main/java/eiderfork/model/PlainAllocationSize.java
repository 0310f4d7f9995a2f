package eiderfork.model;

import java.util.HashSet;
import java.util.Set;

/** The bound on the plain form of an {@link StoredRecord.Alloc}, which every version reads. */
public final class PlainAllocationSize implements AllocationSize {
  /** Braces, field names, the last attempt and the mark of a job that is done. */
  private static final int FRAME = 96;

  /** Quotes, colon, braces and comma around an attempt or a machine. */
  private static final int AROUND = 6;

  /** Characters of a bitmap say six tasks each. */
  private static final int TASKS_PER_CHARACTER = 6;

  /** The share of a value that is used, for what a store may count beside the text. */
  private static final double VALUE_SHARE = 0.95;

  private final int tasks;
  private final int finishedRanges;
  private final Set<Long> attempts = new HashSet<>();
  private final Set<String> places = new HashSet<>();
  private int reserved;
  private int placeBytes;

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
    reserved++;
    if (attempts.add(attempt)) {
      placeBytes += digits(attempt) + AROUND;
    }
    if (places.add(attempt + " " + machine)) {
      placeBytes += machine.length() + AROUND;
    }
  }

  @Override
  public boolean fits(int index, long attempt, String machine, double valueKb) {
    int more = digits(attempt) + machine.length() + 2 * AROUND;
    return bytes(reserved + 1, placeBytes + more) <= valueKb * 1024 * VALUE_SHARE;
  }

  /**
   * A run of tasks takes no more than the tasks alone, so it does not matter how they end. Each may
   * end between two that go on; the finished ones are ranges or a bitmap, whichever is shorter.
   */
  private double bytes(int reservations, int placesTake) {
    int index = digits(tasks) + 1;
    double finished =
        Math.min(
            (double) tasks / TASKS_PER_CHARACTER + AROUND,
            (finishedRanges + reservations + 1.0) * 2 * index);
    return FRAME + placesTake + (double) reservations * index + finished;
  }

  /** Whether values of this size let a job of that many tasks run at all, one by one. */
  public static boolean anyFits(int tasks, int nameBytes, double valueKb) {
    return new PlainAllocationSize(tasks, 1)
        .fits(0, Long.MAX_VALUE, "m".repeat(nameBytes), valueKb);
  }

  private static int digits(long n) {
    return Long.toString(n).length();
  }
}
