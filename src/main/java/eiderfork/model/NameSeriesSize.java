package eiderfork.model;

import java.util.HashSet;
import java.util.Set;

/** The size bound for the list of series of machine names in a packed or bitmap record. */
final class NameSeriesSize {
  /**
   * The overhead of a series beside its prefix: the length of the prefix and that of its numbers.
   */
  private static final int OVERHEAD_BYTES = 4;

  private final Set<NumberedName.Series> listed = new HashSet<>();
  private int bytes;

  /** Adds a series to the list; returns false if it is already listed. */
  boolean add(NumberedName.Series series) {
    if (!listed.add(series)) {
      return false;
    }
    bytes += bytesOf(series);
    return true;
  }

  /** Returns the size of the list after adding a series, which may already be listed. */
  int bytesWith(NumberedName.Series series) {
    return listed.contains(series) ? bytes : bytes + bytesOf(series);
  }

  private static int bytesOf(NumberedName.Series series) {
    return OVERHEAD_BYTES + series.prefix().length() * NumberedName.MAX_BYTES_PER_CHARACTER;
  }
}
