package eiderfork.model;

/**
 * The size bound for the packed encoding of an {@link StoredRecord.Allocation}, which consists of
 * columns of variable-length integers in Base64.
 */
public final class PackedAllocationSize implements AllocationSize {
  /** The last attempt, the flag of a completed job, and the overhead of the columns. */
  private static final int FRAME_BYTES = 64;

  /** The length of a run of tasks, and the index of the series of its machine name. */
  private static final int SMALL_COLUMNS_BYTES = 3;

  private static final int TASKS_PER_BYTE = 8;

  private final int tasks;
  private final int finishedRanges;
  private final NameSeriesSize seriesSize = new NameSeriesSize();
  private int reservations;
  private int reservationBytes;
  private long newestAttempt;

  /**
   * Creates the bound for a record without reservations.
   *
   * @param tasks the number of tasks of the job
   * @param finishedRanges the number of separate ranges of finished tasks
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
    // An attempt is stored as its difference from the newest one, so older attempts take more
    // space.
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

  /**
   * Returns the bound for a reservation stored as a run of its own. A run of several tasks takes no
   * more than its tasks as separate runs, so the bound holds in whatever order tasks end.
   */
  private int bytesOf(NumberedName name) {
    return VarintSize.maxBytes(tasks)
        + VarintSize.maxBytes(name.series().exclusiveUpperBound())
        + SMALL_COLUMNS_BYTES;
  }
}
