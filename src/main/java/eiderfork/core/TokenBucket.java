package eiderfork.core;

/** The budget for one outside limit. */
final class TokenBucket {
  private double perS;
  private double burst;
  private double tokens;
  private long atMs;

  TokenBucket(double perS, double burst, long nowMs) {
    this.perS = perS;
    this.burst = burst;
    this.tokens = burst;
    this.atMs = nowMs;
  }

  void rate(double newPerS, double newBurst) {
    perS = newPerS;
    burst = newBurst;
    tokens = Math.min(tokens, burst);
  }

  double burst() {
    return burst;
  }

  double perS() {
    return perS;
  }

  boolean has(double n, long nowMs) {
    refill(nowMs);
    return tokens >= Math.min(n, burst);
  }

  boolean take(double n, long nowMs) {
    if (!has(n, nowMs)) {
      return false;
    }
    tokens -= n;
    return true;
  }

  /** Gives up what is saved, after the other side said that it was too much. */
  void drain(long nowMs) {
    refill(nowMs);
    tokens = Math.min(tokens, 0);
  }

  private void refill(long nowMs) {
    tokens = Math.min(burst, tokens + perS * Math.max(0, nowMs - atMs) / 1000.0);
    atMs = Math.max(atMs, nowMs);
  }
}
