package eiderfork.model;

import java.util.HashSet;
import java.util.Set;

/** The bound on the series of machine names that a compact record lists. */
final class NameSeriesSize {
  /** The lengths of a series' prefix and of its numbers, beside the prefix. */
  private static final int OVERHEAD_BYTES = 4;

  private final Set<NumberedName.Series> listed = new HashSet<>();
  private int bytes;

  /** Lists one more series; whether it was not listed before. */
  boolean add(NumberedName.Series series) {
    if (!listed.add(series)) {
      return false;
    }
    bytes += bytesOf(series);
    return true;
  }

  /** The bytes of the list with one more series, which may be listed already. */
  int bytesWith(NumberedName.Series series) {
    return listed.contains(series) ? bytes : bytes + bytesOf(series);
  }

  private static int bytesOf(NumberedName.Series series) {
    return OVERHEAD_BYTES + series.prefix().length() * NumberedName.MAX_BYTES_PER_CHARACTER;
  }
}
