package eiderfork.model;

import java.util.BitSet;

/**
 * The bound on the bitmap form of an {@link StoredRecord.Allocation}: two compressed bitmaps of the
 * tasks, and one row for each run of reservations.
 *
 * <p>Nothing of it grows when a task ends. Runs are counted among the reserved tasks alone, so that
 * a task that leaves one never splits it. A compressed bitmap has one word for each that is neither
 * all ones nor all zeros, and a marker for each stretch of others. Only words that hold an
 * unfinished task can change, and each of them accounts for two words at most: itself and a marker
 * of what follows it, or the markers of the stretch that it is and of the one that follows.
 */
public final class BitmapAllocationSize implements AllocationSize {
  /** The last attempt, the mark of a job that is done, and the edges of columns and bitmaps. */
  private static final int FRAME_BYTES = 64;

  /** A run's series of machine names. */
  private static final int SERIES_INDEX_BYTES = 1;

  /** A reservation between others begins a run of its own and splits another. */
  private static final int MAX_RUNS_PER_INSERTION = 2;

  private static final int TASKS_PER_WORD = 32;
  private static final int BYTES_PER_WORD = 4;

  /** What a word that may change accounts for in each bitmap, see above. */
  private static final int WORDS_PER_CHANGING_WORD = 2;

  /** The words that every bitmap has: its sizes, and markers at its two ends. */
  private static final int WORDS_PER_BITMAP = 5;

  private static final int BITMAPS = 2;

  private final int tasks;

  /**
   * The words that hold an unfinished task, up to the last one with a finished or reserved task.
   */
  private final BitSet unfinishedWords;

  private final BitSet reservedWords = new BitSet();
  private final NameSeriesSize seriesSize = new NameSeriesSize();
  private int endOfWords;
  private int runs;
  private long maxNumberBound = 1;
  private int lastIndex = -1;
  private long lastAttempt;
  private String lastMachine = "";

  /**
   * Begins with a record that reserves nothing.
   *
   * @param tasks how many tasks the job has
   * @param finished which of them have finished
   */
  public BitmapAllocationSize(int tasks, BitSet finished) {
    this.tasks = tasks;
    endOfWords = (finished.length() + TASKS_PER_WORD - 1) / TASKS_PER_WORD;
    unfinishedWords = new BitSet();
    for (int task = finished.nextClearBit(0); task < endOfWords * TASKS_PER_WORD; ) {
      int word = task / TASKS_PER_WORD;
      unfinishedWords.set(word);
      task = finished.nextClearBit((word + 1) * TASKS_PER_WORD);
    }
  }

  /** Counts a reservation of the record so far; to be called in the order of the tasks. */
  public void addExisting(int index, long attempt, String machine) {
    boolean sameRun = lastIndex >= 0 && attempt == lastAttempt && machine.equals(lastMachine);
    count(index, attempt, machine, sameRun ? 0 : 1);
  }

  @Override
  public void add(int index, long attempt, String machine) {
    count(index, attempt, machine, additionalRuns(index, attempt, machine));
  }

  private void count(int index, long attempt, String machine, int newRuns) {
    runs += newRuns;
    lastIndex = index;
    lastAttempt = attempt;
    lastMachine = machine;
    int word = index / TASKS_PER_WORD;
    reservedWords.set(word);
    if (word >= endOfWords) {
      unfinishedWords.set(endOfWords, word + 1);
      endOfWords = word + 1;
    }
    NumberedName.Series nameSeries = NumberedName.of(machine).series();
    if (seriesSize.add(nameSeries)) {
      maxNumberBound = Math.max(maxNumberBound, nameSeries.exclusiveUpperBound());
    }
  }

  private int additionalRuns(int index, long attempt, String machine) {
    boolean extendsLast =
        index == lastIndex + 1 && attempt == lastAttempt && machine.equals(lastMachine);
    return extendsLast ? 0 : MAX_RUNS_PER_INSERTION;
  }

  @Override
  public boolean fits(int index, long attempt, String machine, double valueKb) {
    NumberedName.Series nameSeries = NumberedName.of(machine).series();
    // A run's attempt is stored as its distance from the newest one.
    int runBytes =
        VarintSize.maxBytes(tasks)
            + VarintSize.maxBytes(attempt)
            + VarintSize.maxBytes(Math.max(maxNumberBound, nameSeries.exclusiveUpperBound()))
            + SERIES_INDEX_BYTES;
    int totalRuns = runs + additionalRuns(index, attempt, machine);
    int totalBytes =
        FRAME_BYTES + seriesSize.bytesWith(nameSeries) + bitmapBytes(index) + totalRuns * runBytes;
    return ValueLimit.fitsBase64(totalBytes, valueKb);
  }

  private int bitmapBytes(int index) {
    int word = index / TASKS_PER_WORD;
    int additionalUnfinished = Math.max(0, word + 1 - endOfWords);
    int additionalReserved = reservedWords.get(word) ? 0 : 1;
    int changingWords =
        unfinishedWords.cardinality()
            + additionalUnfinished
            + reservedWords.cardinality()
            + additionalReserved;
    int words = WORDS_PER_CHANGING_WORD * changingWords + BITMAPS * WORDS_PER_BITMAP;
    return words * BYTES_PER_WORD;
  }
}
