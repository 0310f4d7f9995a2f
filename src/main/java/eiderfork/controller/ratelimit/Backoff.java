package eiderfork.controller.ratelimit;

import java.util.random.RandomGenerator;

/** Growing, jittered pauses between tries. */
public final class Backoff {
  private final long firstMs;
  private final long mostMs;
  private int failures;

  /** Makes pauses that begin with about {@code firstMs} and double up to {@code mostMs}. */
  public Backoff(long firstMs, long mostMs) {
    this.firstMs = firstMs;
    this.mostMs = mostMs;
  }

  /** The pause after one more failure. */
  public long next(RandomGenerator random) {
    long base = Math.min(mostMs, firstMs << Math.min(failures, 16));
    failures++;
    return base / 2 + random.nextLong(base / 2 + 1);
  }

  /** What was tried has worked. */
  public void reset() {
    failures = 0;
  }
}
