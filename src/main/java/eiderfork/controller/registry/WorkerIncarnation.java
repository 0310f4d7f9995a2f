package eiderfork.controller.registry;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Heartbeat;

/**
 * The newest known incarnation of a worker, with the bounds on its lease. A lease belongs to one
 * incarnation: when it expires, the worker discards its tasks and starts the next incarnation with
 * a new lease.
 */
public final class WorkerIncarnation {
  private Heartbeat lastHeartbeat;
  private long lastHeartbeatMs;
  private long leaseStartMs;

  /** The newest heartbeat of this term; null before the first. */
  Heartbeat lastHeartbeat() {
    return lastHeartbeat;
  }

  /** The incarnation's number; 0 before the first heartbeat. */
  public long number() {
    return lastHeartbeat == null ? 0 : lastHeartbeat.incarnation();
  }

  /**
   * The time when the newest heartbeat arrived, on its own or in a command reply; 0 for none in
   * this term.
   */
  public long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  /**
   * The latest possible start of the lease: the time when a heartbeat was last answered or the
   * incarnation was first seen, whichever is later; 0 for never in this term.
   */
  public long leaseStartMs() {
    return leaseStartMs;
  }

  /** Returns whether the heartbeat is newer than the newest known one. */
  public boolean isNewer(Heartbeat heartbeat) {
    return lastHeartbeat == null
        || heartbeat.isNewerThan(lastHeartbeat.incarnation(), lastHeartbeat.sequenceNumber());
  }

  /**
   * Records the newest heartbeat.
   *
   * @return whether it is the first one received from its incarnation
   */
  boolean recordHeartbeat(Heartbeat heartbeat, long nowMs) {
    boolean first = lastHeartbeat == null || heartbeat.incarnation() != lastHeartbeat.incarnation();
    lastHeartbeat = heartbeat;
    lastHeartbeatMs = nowMs;
    if (first) {
      // The lease of the previous incarnation does not cover the tasks of this one.
      leaseStartMs = nowMs;
    }
    return first;
  }

  /** Records that a heartbeat is answered now, which may renew the worker's lease. */
  void renewLease(long nowMs) {
    leaseStartMs = nowMs;
  }

  /**
   * Returns whether the lease may have expired, so that no task should start in this incarnation.
   */
  public boolean mayLeaseHaveExpired(long nowMs, long leaseMs) {
    return nowMs - leaseStartMs > leaseMs;
  }

  /**
   * Returns whether the lease has certainly expired, even if the worker's clock is slow.
   *
   * @param renewedByOthersMs the latest time at which another node may have renewed it
   */
  public boolean hasLeaseSurelyExpired(
      long nowMs, long leaseMs, long renewedByOthersMs, long marginMs) {
    long fromMs = Math.max(leaseStartMs, renewedByOthersMs);
    return nowMs - fromMs > ControllerContext.withClockDrift(leaseMs) + marginMs;
  }
}
