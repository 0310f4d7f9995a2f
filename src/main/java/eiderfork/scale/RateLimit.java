package eiderfork.scale;

/** A limit on what happens in a second, with a burst of some seconds' worth. */
final class RateLimit {
  private final double perMs;
  private final double most;
  private double left;
  private long lastMs = Clock.nowMs();

  RateLimit(double perS, double burstS) {
    perMs = perS / 1000;
    most = Math.max(1, perS * burstS);
    left = most;
  }

  boolean take(int n, long nowMs) {
    left = Math.min(most, left + (nowMs - lastMs) * perMs);
    lastMs = nowMs;
    if (left < n) {
      return false;
    }
    left -= n;
    return true;
  }
}
