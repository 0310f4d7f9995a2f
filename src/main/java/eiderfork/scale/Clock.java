package eiderfork.scale;

/** The steady time of the emulation. */
final class Clock {
  private Clock() {}

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
