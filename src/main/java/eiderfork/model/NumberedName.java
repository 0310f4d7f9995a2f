package eiderfork.model;

/**
 * A name split into a prefix and a trailing number, so that numbered names can be stored compactly.
 *
 * @param series the prefix and the number of digits
 * @param number the trailing number; 0 if the name does not end with one
 */
public record NumberedName(Series series, long number) {
  /** The maximum number of bytes of a Java character in UTF-8. */
  static final int MAX_BYTES_PER_CHARACTER = 3;

  /** A number of digits that always fits into a long. */
  private static final int MAX_DIGITS = 17;

  /** All names with the same prefix and the same number of trailing digits. */
  public record Series(String prefix, int digits) {
    /** Returns an exclusive upper bound on the numbers of the series. */
    long exclusiveUpperBound() {
      long bound = 1;
      for (int i = 0; i < digits; i++) {
        bound *= 10;
      }
      return bound;
    }
  }

  /** Splits a name into its prefix and its trailing number. */
  public static NumberedName of(String name) {
    int start = name.length();
    while (start > 0 && name.length() - start < MAX_DIGITS && isDigit(name.charAt(start - 1))) {
      start--;
    }
    int digits = name.length() - start;
    long number = digits == 0 ? 0 : Long.parseLong(name.substring(start));
    return new NumberedName(new Series(name.substring(0, start), digits), number);
  }

  private static boolean isDigit(char c) {
    return c >= '0' && c <= '9';
  }

  /** Returns the complete name. */
  public String text() {
    String digits = series.digits() == 0 ? "" : Long.toString(number);
    return series.prefix() + "0".repeat(series.digits() - digits.length()) + digits;
  }
}
