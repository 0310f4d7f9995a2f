package eiderfork.model;

/** Checks whether a record fits into a value of the store. */
final class ValueLimit {
  private static final int BYTES_PER_KB = 1024;

  /** The usable fraction of a value; the store may count more bytes than those of the text. */
  private static final double USABLE_SHARE = 0.95;

  private static final double BASE64_EXPANSION = 4 / 3.0;

  /** The size of the JSON syntax around a Base64 text. */
  private static final int JSON_ENVELOPE_BYTES = 20;

  private ValueLimit() {}

  /** Returns whether a text of this size fits into a value. */
  static boolean fitsText(double textBytes, double valueKb) {
    return textBytes <= valueKb * BYTES_PER_KB * USABLE_SHARE;
  }

  /** Returns whether this number of bytes fits into a value, encoded as Base64 within JSON. */
  static boolean fitsBase64(int bytes, double valueKb) {
    return fitsText(bytes * BASE64_EXPANSION + JSON_ENVELOPE_BYTES, valueKb);
  }
}
