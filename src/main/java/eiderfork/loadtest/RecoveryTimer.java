package eiderfork.loadtest;

/**
 * Measures how long the effects of a fault last: until a leader of a later term sends commands,
 * until a submission sent after the fault is accepted, and until no more replicas are missing than
 * before.
 */
final class RecoveryTimer {
  /**
   * The effects of a fault, in seconds from its injection; negative for effects that did not occur.
   * The component names are keys of the JSON report.
   */
  record Result(
      String kind,
      int cell,
      double takeoverS,
      double acceptedAgainS,
      int mostMissing,
      int missingBefore,
      double asBeforeS) {}

  private final LoadTestSettings.Fault fault;
  private final long termBefore;
  private final int missingBefore;
  private final long faultMs;
  private long failoverMs = -1;
  private long acceptedMs = -1;
  private long lastMissingMs;
  private long lastTickMs;
  private int maxMissing;
  private boolean stopped;

  RecoveryTimer(LoadTestSettings.Fault fault, long termBefore, int missingBefore, long nowMs) {
    this.fault = fault;
    this.termBefore = termBefore;
    this.missingBefore = missingBefore;
    faultMs = nowMs;
    lastMissingMs = nowMs;
  }

  /** Ends the measurement, because the next fault of the cell begins. */
  void stop() {
    stopped = true;
  }

  void termObserved(long term, long nowMs) {
    if (!stopped && failoverMs < 0 && term > termBefore) {
      failoverMs = nowMs;
    }
  }

  void accepted(long requestedMs, long nowMs) {
    if (!stopped && acceptedMs < 0 && requestedMs > faultMs) {
      acceptedMs = nowMs;
    }
  }

  void tick(long nowMs, int missing) {
    if (stopped) {
      return;
    }
    lastTickMs = nowMs;
    maxMissing = Math.max(maxMissing, missing);
    if (missing > missingBefore) {
      lastMissingMs = nowMs;
    }
  }

  Result result() {
    boolean stillMissing = lastMissingMs == lastTickMs;
    return new Result(
        fault.kind(),
        fault.cell(),
        failoverMs < 0 ? -1 : (failoverMs - faultMs) / 1000.0,
        acceptedMs < 0 ? -1 : (acceptedMs - faultMs) / 1000.0,
        maxMissing,
        missingBefore,
        stillMissing ? -1 : (lastMissingMs - faultMs) / 1000.0);
  }
}
