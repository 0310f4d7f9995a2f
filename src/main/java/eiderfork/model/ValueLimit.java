package eiderfork.model;

/** Whether a record fits into a value of the store. */
final class ValueLimit {
  private static final int BYTES_PER_KB = 1024;

  /** The share of a value that is used, since a store may count more than the text. */
  private static final double USABLE_SHARE = 0.95;

  private static final double BASE64_EXPANSION = 4 / 3.0;

  /** The JSON around a Base64 text. */
  private static final int JSON_ENVELOPE_BYTES = 20;

  private ValueLimit() {}

  /** Whether a text of so many bytes fits. */
  static boolean fitsText(double textBytes, double valueKb) {
    return textBytes <= valueKb * BYTES_PER_KB * USABLE_SHARE;
  }

  /** Whether so many bytes fit as Base64 in JSON. */
  static boolean fitsBase64(int bytes, double valueKb) {
    return fitsText(bytes * BASE64_EXPANSION + JSON_ENVELOPE_BYTES, valueKb);
  }
}
