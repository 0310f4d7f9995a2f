package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Heartbeat;

/**
 * The newest session of a machine's worker that this leader knows of, and what it knows of the
 * session's lease. A lease belongs to one session: when it is over, the worker forgets its tasks
 * and begins the next session, which has a lease of its own from then on.
 */
final class WorkerIncarnation {
  /** The newest report of this term, null before the first. */
  private Heartbeat lastHeartbeat;

  private long lastHeartbeatMs;
  private long leaseStartMs;

  /** The newest report of this term, null before the first. */
  Heartbeat lastHeartbeat() {
    return lastHeartbeat;
  }

  /** The session's number, 0 before the first report. */
  long number() {
    return lastHeartbeat == null ? 0 : lastHeartbeat.incarnation();
  }

  /** When the newest report came, by itself or with an answer; 0 for never in this term. */
  long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  /**
   * The latest moment from which the lease may run: when a report was last answered or, where that
   * is later, when the session was first seen. 0 for never in this term.
   */
  long leaseStartMs() {
    return leaseStartMs;
  }

  /** Whether the report is newer than all that is known of the worker. */
  boolean isNewer(Heartbeat heartbeat) {
    return lastHeartbeat == null
        || heartbeat.isNewerThan(lastHeartbeat.incarnation(), lastHeartbeat.sequenceNumber());
  }

  /**
   * Takes the newest report.
   *
   * @return whether it is the first that is seen of its session
   */
  boolean recordHeartbeat(Heartbeat heartbeat, long nowMs) {
    boolean first = lastHeartbeat == null || heartbeat.incarnation() != lastHeartbeat.incarnation();
    lastHeartbeat = heartbeat;
    lastHeartbeatMs = nowMs;
    if (first) {
      // A lease counted from an answer in the session before once ended while tasks ran in this
      // one.
      leaseStartMs = nowMs;
    }
    return first;
  }

  /** The worker's lease may be renewed now. */
  void renewLease(long nowMs) {
    leaseStartMs = nowMs;
  }

  /** Whether the lease may be over, so that nothing should start in this session any more. */
  boolean mayLeaseHaveExpired(long nowMs, long leaseMs) {
    return nowMs - leaseStartMs > leaseMs;
  }

  /**
   * Whether the lease is surely over by the worker's clock, too.
   *
   * @param renewedByOthersMs up to when somebody else may have renewed it
   */
  boolean hasLeaseSurelyExpired(long nowMs, long leaseMs, long renewedByOthersMs, long marginMs) {
    long fromMs = Math.max(leaseStartMs, renewedByOthersMs);
    return nowMs - fromMs > ControllerContext.withClockDrift(leaseMs) + marginMs;
  }
}
