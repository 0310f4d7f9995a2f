package eiderfork.model;

/** The size of integers in Avro's binary form: zigzag, seven bits a byte. */
final class VarintSize {
  private static final int BITS_PER_BYTE = 7;

  private VarintSize() {}

  /** How many bytes a number of this size, or its negative, takes at most. */
  static int maxBytes(long number) {
    int bits = Long.SIZE - Long.numberOfLeadingZeros(number) + 1;
    return (bits + BITS_PER_BYTE - 1) / BITS_PER_BYTE;
  }
}
