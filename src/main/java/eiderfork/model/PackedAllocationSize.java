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
  private static final int AROUND_TEXT = 20;

  /** The length of a run of tasks and the series of its machine's name. */
  private static final int SMALL_COLUMNS_BYTES = 3;

  /** The lengths of a series' prefix and of its numbers, beside the prefix. */
  private static final int SERIES_BYTES = 4;

  private static final int TASKS_PER_BYTE = 8;
  private static final double TEXT_PER_BYTE = 4 / 3.0;

  /** The share of a value that is used, for what a store may count beside the text. */
  private static final double VALUE_SHARE = 0.95;

  private final int tasks;
  private final int finishedRanges;
  private final Set<NumberedName.Series> series = new HashSet<>();
  private int reserved;
  private int reservedBytes;
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
    reserved++;
    newestAttempt = Math.max(newestAttempt, attempt);
    reservedBytes += bytesOf(name);
    if (series.add(name.series())) {
      seriesBytes += bytesOf(name.series());
    }
  }

  @Override
  public boolean fits(int index, long attempt, String machine, double valueKb) {
    NumberedName name = NumberedName.of(machine);
    int more = bytesOf(name);
    // An attempt is told as how far it lies behind the newest, which is more the older it is.
    int attempts = (reserved + 1) * VarintSize.bytes(Math.max(newestAttempt, attempt));
    int moreSeries = series.contains(name.series()) ? 0 : bytesOf(name.series());
    int ranges = finishedRanges + reserved + 1 + 1;
    int finishedBytes = Math.min(tasks / TASKS_PER_BYTE + 1, ranges * 2 * VarintSize.bytes(tasks));
    int bytes =
        FRAME_BYTES + reservedBytes + more + attempts + seriesBytes + moreSeries + finishedBytes;
    return bytes * TEXT_PER_BYTE + AROUND_TEXT <= valueKb * 1024 * VALUE_SHARE;
  }

  /** A run of tasks takes no more than its tasks alone, so it does not matter how they end. */
  private int bytesOf(NumberedName name) {
    return VarintSize.bytes(tasks) + VarintSize.bytes(name.series().bound()) + SMALL_COLUMNS_BYTES;
  }

  private static int bytesOf(NumberedName.Series series) {
    return SERIES_BYTES + series.prefix().length() * NumberedName.MOST_BYTES_PER_CHARACTER;
  }
}
