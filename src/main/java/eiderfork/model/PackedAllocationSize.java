package eiderfork.model;

/**
 * The bound on the packed form of an {@link StoredRecord.Allocation}: columns of variable-length
 * integers in Base64.
 */
public final class PackedAllocationSize implements AllocationSize {
  /** The last attempt, whether the job is done, and the bounds of the columns. */
  private static final int FRAME_BYTES = 64;

  /** The length of a run of tasks and the series of its machine's name. */
  private static final int SMALL_COLUMNS_BYTES = 3;

  private static final int TASKS_PER_BYTE = 8;

  private final int tasks;
  private final int finishedRanges;
  private final NameSeriesSize seriesSize = new NameSeriesSize();
  private int reservations;
  private int reservationBytes;
  private long newestAttempt;

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
    seriesSize.add(name.series());
  }

  @Override
  public boolean fits(int index, long attempt, String machine, double valueKb) {
    NumberedName name = NumberedName.of(machine);
    int additionalBytes = bytesOf(name);
    // An attempt is stored as its distance from the newest one, so an older one takes more.
    int attemptBytes = (reservations + 1) * VarintSize.maxBytes(Math.max(newestAttempt, attempt));
    int rangeCount = finishedRanges + reservations + 1 + 1;
    int finishedBytes =
        Math.min(tasks / TASKS_PER_BYTE + 1, rangeCount * 2 * VarintSize.maxBytes(tasks));
    int totalBytes =
        FRAME_BYTES
            + reservationBytes
            + additionalBytes
            + attemptBytes
            + seriesSize.bytesWith(name.series())
            + finishedBytes;
    return ValueLimit.fitsBase64(totalBytes, valueKb);
  }

  /** A run of tasks takes no more than its tasks alone, so it does not matter how they end. */
  private int bytesOf(NumberedName name) {
    return VarintSize.maxBytes(tasks)
        + VarintSize.maxBytes(name.series().exclusiveUpperBound())
        + SMALL_COLUMNS_BYTES;
  }
}
