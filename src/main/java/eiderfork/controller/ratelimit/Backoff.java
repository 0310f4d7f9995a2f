package eiderfork.controller.ratelimit;

import java.util.random.RandomGenerator;

/** Exponential backoff with jitter. */
public final class Backoff {
  /** Bounds the shift below the width of a long. */
  private static final int MAX_DOUBLINGS = 16;

  private final long firstMs;
  private final long maxMs;
  private int failures;

  /** Makes pauses that begin with about {@code firstMs} and double up to {@code maxMs}. */
  public Backoff(long firstMs, long maxMs) {
    this.firstMs = firstMs;
    this.maxMs = maxMs;
  }

  /** The pause after one more failure. */
  public long nextPauseMs(RandomGenerator random) {
    long base = Math.min(maxMs, firstMs << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return base / 2 + random.nextLong(base / 2 + 1);
  }

  /** An attempt has succeeded: pauses begin with the first one again. */
  public void reset() {
    failures = 0;
  }
}
