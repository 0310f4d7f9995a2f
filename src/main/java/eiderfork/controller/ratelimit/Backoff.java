package eiderfork.controller.ratelimit;

import java.util.random.RandomGenerator;

/** Growing, jittered pauses between tries. */
public final class Backoff {
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
    long base = Math.min(maxMs, firstMs << Math.min(failures, 16));
    failures++;
    return base / 2 + random.nextLong(base / 2 + 1);
  }

  /** What was tried has worked. */
  public void reset() {
    failures = 0;
  }
}
