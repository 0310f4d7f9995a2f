package eiderfork.controller.ratelimit;

import java.util.random.RandomGenerator;

/** Exponential backoff with jitter. */
public final class Backoff {
  /** The maximum number of doublings, which prevents an overflow of the shift. */
  private static final int MAX_DOUBLINGS = 16;

  private final long firstMs;
  private final long maxMs;
  private int failures;

  /**
   * Creates a backoff whose pauses start at about {@code firstMs} and double up to {@code maxMs}.
   */
  public Backoff(long firstMs, long maxMs) {
    this.firstMs = firstMs;
    this.maxMs = maxMs;
  }

  /** Records a failure and returns the pause before the next attempt. */
  public long nextPauseMs(RandomGenerator random) {
    long baseMs = Math.min(maxMs, firstMs << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return baseMs / 2 + random.nextLong(baseMs / 2 + 1);
  }

  /** Records a success: the next pause is the first one again. */
  public void reset() {
    failures = 0;
  }
}
