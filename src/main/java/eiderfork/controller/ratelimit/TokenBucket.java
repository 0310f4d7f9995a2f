package eiderfork.controller.ratelimit;

/** A token bucket that enforces a rate limit of another service. */
public final class TokenBucket {
  private static final double MS_PER_S = 1000;

  private double tokensPerS;
  private double burst;
  private double tokens;
  private long refilledAtMs;

  /** Creates a full bucket with a capacity of {@code burst} tokens. */
  public TokenBucket(double tokensPerS, double burst, long nowMs) {
    this.tokensPerS = tokensPerS;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAtMs = nowMs;
  }

  /** Changes the rate and the capacity; keeps the current tokens up to the new capacity. */
  public void setRate(double newTokensPerS, double newBurst) {
    tokensPerS = newTokensPerS;
    burst = newBurst;
    tokens = Math.min(tokens, burst);
  }

  /** Returns the capacity of the bucket. */
  public double burst() {
    return burst;
  }

  /** Returns the refill rate. */
  public double tokensPerS() {
    return tokensPerS;
  }

  /**
   * Returns whether {@code count} tokens can be taken now; if {@code count} exceeds the capacity,
   * whether the bucket is full.
   */
  public boolean hasTokens(double count, long nowMs) {
    refill(nowMs);
    return tokens >= Math.min(count, burst);
  }

  /**
   * Takes {@code count} tokens if {@link #hasTokens} holds, and returns whether it did. The balance
   * becomes negative if {@code count} exceeds the capacity.
   */
  public boolean tryTake(double count, long nowMs) {
    if (!hasTokens(count, nowMs)) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** Removes all tokens, after the service refused a request because of its rate limit. */
  public void drain(long nowMs) {
    refill(nowMs);
    tokens = Math.min(tokens, 0);
  }

  private void refill(long nowMs) {
    tokens = Math.min(burst, tokens + tokensPerS * Math.max(0, nowMs - refilledAtMs) / MS_PER_S);
    refilledAtMs = Math.max(refilledAtMs, nowMs);
  }
}
