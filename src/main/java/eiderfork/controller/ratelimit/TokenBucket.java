package eiderfork.controller.ratelimit;

/** The budget for one outside limit. */
public final class TokenBucket {
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

  /** Changes the rate; what is saved stays as far as the new burst allows. */
  public void setRate(double newPerS, double newBurst) {
    tokensPerS = newPerS;
    burst = newBurst;
    tokens = Math.min(tokens, burst);
  }

  /** The most tokens that are saved. */
  public double burst() {
    return burst;
  }

  /** The tokens gained in a second. */
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

  /** Takes {@code count} tokens where they are there; whether they were. */
  public boolean tryTake(double count, long nowMs) {
    if (!hasTokens(count, nowMs)) {
      return false;
    }
    tokens -= count;
    return true;
  }

  /** Gives up what is saved, after the other side said that it was too much. */
  public void drain(long nowMs) {
    refill(nowMs);
    tokens = Math.min(tokens, 0);
  }

  private void refill(long nowMs) {
    tokens = Math.min(burst, tokens + tokensPerS * Math.max(0, nowMs - refilledAtMs) / 1000.0);
    refilledAtMs = Math.max(refilledAtMs, nowMs);
  }
}
