package eiderfork.model;

import java.util.BitSet;

/**
 * The size bound for the bitmap encoding of an {@link StoredRecord.Allocation}, which consists of
 * two compressed bitmaps of the tasks (reserved and finished) and one row per run of reservations.
 *
 * <p>The bound does not grow when a task ends. A run is a sequence of reserved tasks with the same
 * attempt and machine, regardless of tasks in between that are not reserved, so that removing a
 * task never splits a run. A compressed bitmap stores each mixed word (neither all ones nor all
 * zeros) literally, and a marker for each sequence of uniform words. Only words with an unfinished
 * task can change. Each such word takes at most two words of the compressed bitmap: either its
 * literal and a marker for the words after it, or a marker for the sequence that it belongs to and
 * one for the next sequence.
 */
public final class BitmapAllocationSize implements AllocationSize {
  /** The last attempt, the flag of a completed job, and the overhead of columns and bitmaps. */
  private static final int FRAME_BYTES = 64;

  /** The index of the series that a run's machine name belongs to. */
  private static final int SERIES_INDEX_BYTES = 1;

  /** A reservation between two others starts a run of its own and may split an existing run. */
  private static final int MAX_RUNS_PER_INSERTION = 2;

  private static final int TASKS_PER_WORD = 32;
  private static final int BYTES_PER_WORD = 4;

  /** The maximum number of compressed words for a word that can change; see the class comment. */
  private static final int WORDS_PER_CHANGING_WORD = 2;

  /** The fixed words of a bitmap: its sizes, and the markers at both ends. */
  private static final int WORDS_PER_BITMAP = 5;

  private static final int BITMAPS = 2;

  private final int tasks;

  /**
   * The indexes of words with an unfinished task, up to the last word with a finished or reserved
   * task.
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
   * Creates the bound for a record without reservations.
   *
   * @param tasks the number of tasks of the job
   * @param finished the indexes of the finished tasks
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

  /** Adds a reservation of the existing record. Must be called in ascending order of the tasks. */
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
    // A run's attempt is stored as its difference from the newest attempt.
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
