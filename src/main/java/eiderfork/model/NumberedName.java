package eiderfork.model;

/**
 * A name as its prefix and the number that it ends with, so that numbered names can be stored in
 * little space.
 *
 * @param series the prefix, and how many digits the number has
 * @param number the number; 0 where the name does not end with one
 */
public record NumberedName(Series series, long number) {
  /** Characters take at most this many bytes in UTF-8. */
  static final int MAX_BYTES_PER_CHARACTER = 3;

  /** Digits that surely fit into a long. */
  private static final int MAX_DIGITS = 17;

  /** Names with the same prefix and number of digits. */
  public record Series(String prefix, int digits) {
    /** A bound that all numbers of the series are below. */
    long exclusiveUpperBound() {
      long bound = 1;
      for (int i = 0; i < digits; i++) {
        bound *= 10;
      }
      return bound;
    }
  }

  /** Splits a name. */
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

  /** The whole name. */
  public String text() {
    String digits = series.digits() == 0 ? "" : Long.toString(number);
    return series.prefix() + "0".repeat(series.digits() - digits.length()) + digits;
  }
}
