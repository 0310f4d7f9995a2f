package eiderfork.loadtest;

/** The steady time of the emulation. */
final class SteadyClock {
  private SteadyClock() {}

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
