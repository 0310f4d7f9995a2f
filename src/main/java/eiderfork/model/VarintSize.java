package eiderfork.model;

/** The size of integers in Avro's binary encoding: zigzag, with seven bits per byte. */
final class VarintSize {
  private static final int BITS_PER_BYTE = 7;

  private VarintSize() {}

  /** Returns the maximum size of any integer whose absolute value is at most {@code number}. */
  static int maxBytes(long number) {
    int bits = Long.SIZE - Long.numberOfLeadingZeros(number) + 1;
    return (bits + BITS_PER_BYTE - 1) / BITS_PER_BYTE;
  }
}
