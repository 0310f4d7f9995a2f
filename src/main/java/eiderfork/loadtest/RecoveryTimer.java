package eiderfork.loadtest;

/**
 * Measures how long a trouble is felt: until a leader of a later term commands workers, until a
 * submission sent after it is accepted, and until no more replicas are missing than before.
 */
final class RecoveryTimer {
  /** What came of a trouble, in seconds from its beginning; negative where it did not happen. */
  record Result(
      String kind,
      int cell,
      double takeoverS,
      double acceptedAgainS,
      int mostMissing,
      int missingBefore,
      double asBeforeS) {}

  private final LoadTestSettings.Trouble trouble;
  private final long termBefore;
  private final int missingBefore;
  private final long beganMs;
  private long takeoverMs = -1;
  private long acceptedMs = -1;
  private long lastMissingMs;
  private long lastTickMs;
  private int mostMissing;
  private boolean stopped;

  RecoveryTimer(LoadTestSettings.Trouble fault, long termBefore, int missingBefore, long nowMs) {
    this.trouble = fault;
    this.termBefore = termBefore;
    this.missingBefore = missingBefore;
    beganMs = nowMs;
    lastMissingMs = nowMs;
  }

  /** The next trouble of the cell begins. */
  void stop() {
    stopped = true;
  }

  void termSeen(long term, long nowMs) {
    if (!stopped && takeoverMs < 0 && term > termBefore) {
      takeoverMs = nowMs;
    }
  }

  void accepted(long requestedMs, long nowMs) {
    if (!stopped && acceptedMs < 0 && requestedMs > beganMs) {
      acceptedMs = nowMs;
    }
  }

  void tick(long nowMs, int missing) {
    if (stopped) {
      return;
    }
    lastTickMs = nowMs;
    mostMissing = Math.max(mostMissing, missing);
    if (missing > missingBefore) {
      lastMissingMs = nowMs;
    }
  }

  Result result() {
    boolean stillMissing = lastMissingMs == lastTickMs;
    return new Result(
        trouble.kind(),
        trouble.cell(),
        takeoverMs < 0 ? -1 : (takeoverMs - beganMs) / 1000.0,
        acceptedMs < 0 ? -1 : (acceptedMs - beganMs) / 1000.0,
        mostMissing,
        missingBefore,
        stillMissing ? -1 : (lastMissingMs - beganMs) / 1000.0);
  }
}
