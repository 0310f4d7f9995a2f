package eiderfork.loadtest;

/** The monotonic clock of the emulation. */
final class SteadyClock {
  private SteadyClock() {}

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
