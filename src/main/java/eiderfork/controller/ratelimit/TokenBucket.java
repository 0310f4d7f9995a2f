package eiderfork.controller.ratelimit;

/** A token bucket for one rate limit of another service. */
public final class TokenBucket {
  private static final double MS_PER_S = 1000;

  private double tokensPerS;
  private double burst;
  private double tokens;
  private long refilledAtMs;

  /** Makes a full bucket of {@code burst} tokens that gains {@code tokensPerS} a second. */
  public TokenBucket(double tokensPerS, double burst, long nowMs) {
    this.tokensPerS = tokensPerS;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAtMs = nowMs;
  }

  /** Changes the rate; saved tokens stay as far as the new burst allows. */
  public void setRate(double newTokensPerS, double newBurst) {
    tokensPerS = newTokensPerS;
    burst = newBurst;
    tokens = Math.min(tokens, burst);
  }

  /** The most tokens that are saved. */
  public double burst() {
    return burst;
  }

  /** How many tokens are gained in a second. */
  public double tokensPerS() {
    return tokensPerS;
  }

  /**
   * Whether {@code count} tokens could be taken now, or all that can be saved where that is less.
   */
  public boolean hasTokens(double count, long nowMs) {
    refill(nowMs);
    return tokens >= Math.min(count, burst);
  }

  /** Takes {@code count} tokens where there are as many; returns whether there were. */
  public boolean tryTake(double count, long nowMs) {
    if (!hasTokens(count, nowMs)) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** Drops the saved tokens, after the other side refused a request for its rate. */
  public void drain(long nowMs) {
    refill(nowMs);
    tokens = Math.min(tokens, 0);
  }

  private void refill(long nowMs) {
    tokens = Math.min(burst, tokens + tokensPerS * Math.max(0, nowMs - refilledAtMs) / MS_PER_S);
    refilledAtMs = Math.max(refilledAtMs, nowMs);
  }
}
