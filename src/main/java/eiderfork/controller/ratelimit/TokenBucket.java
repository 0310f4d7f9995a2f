package eiderfork.controller.ratelimit;

/** The budget for one outside limit. */
public final class TokenBucket {
  private double perS;
  private double burst;
  private double tokens;
  private long atMs;

  /** Makes a full bucket of {@code burst} tokens that gains {@code perS} a second. */
  public TokenBucket(double perS, double burst, long nowMs) {
    this.perS = perS;
    this.burst = burst;
    this.tokens = burst;
    this.atMs = nowMs;
  }

  /** Changes the rate; what is saved stays as far as the new burst allows. */
  public void rate(double newPerS, double newBurst) {
    perS = newPerS;
    burst = newBurst;
    tokens = Math.min(tokens, burst);
  }

  /** The most tokens that are saved. */
  public double burst() {
    return burst;
  }

  /** The tokens gained in a second. */
  public double perS() {
    return perS;
  }

  /** Whether {@code n} tokens could be taken now, or all that can be saved where that is less. */
  public boolean has(double n, long nowMs) {
    refill(nowMs);
    return tokens >= Math.min(n, burst);
  }

  /** Takes {@code n} tokens where they are there; whether they were. */
  public boolean take(double n, long nowMs) {
    if (!has(n, nowMs)) {
      return false;
    }
    tokens -= n;
    return true;
  }

  /** Gives up what is saved, after the other side said that it was too much. */
  public void drain(long nowMs) {
    refill(nowMs);
    tokens = Math.min(tokens, 0);
  }

  private void refill(long nowMs) {
    tokens = Math.min(burst, tokens + perS * Math.max(0, nowMs - atMs) / 1000.0);
    atMs = Math.max(atMs, nowMs);
  }
}
