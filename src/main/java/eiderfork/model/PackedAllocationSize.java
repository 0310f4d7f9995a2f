package eiderfork.model;

import java.util.HashSet;
import java.util.Set;

/**
 * The bound on the packed form of an {@link StoredRecord.Alloc}: columns of variable-length
 * integers in Base64.
 */
public final class PackedAllocationSize implements AllocationSize {
  /**
   * The last attempt, the mark of a job that is done, and where each of the columns begins and
   * ends.
   */
  private static final int FRAME_BYTES = 64;

  /** The JSON around the text. */
  private static final int JSON_ENVELOPE_BYTES = 20;

  /** The length of a run of tasks and the series of its machine's name. */
  private static final int SMALL_COLUMNS_BYTES = 3;

  /** The lengths of a series' prefix and of its numbers, beside the prefix. */
  private static final int SERIES_OVERHEAD_BYTES = 4;

  private static final int TASKS_PER_BYTE = 8;
  private static final double BASE64_EXPANSION = 4 / 3.0;

  /** The share of a value that is used, for what a store may count beside the text. */
  private static final double USABLE_VALUE_SHARE = 0.95;

  private final int tasks;
  private final int finishedRanges;
  private final Set<NumberedName.Series> series = new HashSet<>();
  private int reservations;
  private int reservationBytes;
  private long newestAttempt;
  private int seriesBytes;

  /**
   * Begins with a record that reserves nothing.
   *
   * @param tasks how many tasks the job has
   * @param finishedRanges how many separate ranges of its tasks have finished
   */
  public PackedAllocationSize(int tasks, int finishedRanges) {
    this.tasks = tasks;
    this.finishedRanges = finishedRanges;
  }

  @Override
  public void add(int index, long attempt, String machine) {
    NumberedName name = NumberedName.of(machine);
    reservations++;
    newestAttempt = Math.max(newestAttempt, attempt);
    reservationBytes += bytesOf(name);
    if (series.add(name.series())) {
      seriesBytes += bytesOf(name.series());
    }
  }

  @Override
  public boolean fits(int index, long attempt, String machine, double valueKb) {
    NumberedName name = NumberedName.of(machine);
    int additionalBytes = bytesOf(name);
    // An attempt is told as how far it lies behind the newest, which is more the older it is.
    int attemptBytes = (reservations + 1) * VarintSize.maxBytes(Math.max(newestAttempt, attempt));
    int additionalSeriesBytes = series.contains(name.series()) ? 0 : bytesOf(name.series());
    int rangeCount = finishedRanges + reservations + 1 + 1;
    int finishedBytes =
        Math.min(tasks / TASKS_PER_BYTE + 1, rangeCount * 2 * VarintSize.maxBytes(tasks));
    int totalBytes =
        FRAME_BYTES
            + reservationBytes
            + additionalBytes
            + attemptBytes
            + seriesBytes
            + additionalSeriesBytes
            + finishedBytes;
    return totalBytes * BASE64_EXPANSION + JSON_ENVELOPE_BYTES
        <= valueKb * 1024 * USABLE_VALUE_SHARE;
  }

  /** A run of tasks takes no more than its tasks alone, so it does not matter how they end. */
  private int bytesOf(NumberedName name) {
    return VarintSize.maxBytes(tasks)
        + VarintSize.maxBytes(name.series().exclusiveUpperBound())
        + SMALL_COLUMNS_BYTES;
  }

  private static int bytesOf(NumberedName.Series series) {
    return SERIES_OVERHEAD_BYTES + series.prefix().length() * NumberedName.MAX_BYTES_PER_CHARACTER;
  }
}
