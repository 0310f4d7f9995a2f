package eiderfork.controller.registry;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Heartbeat;

/**
 * The newest incarnation of a worker that this leader knows of, and what it knows of its lease. A
 * lease belongs to one incarnation: when it expires, the worker forgets its tasks and begins the
 * next incarnation, which has a lease of its own from then on.
 */
public final class WorkerIncarnation {
  private Heartbeat lastHeartbeat;
  private long lastHeartbeatMs;
  private long leaseStartMs;

  /** The newest heartbeat of this term, null before the first. */
  Heartbeat lastHeartbeat() {
    return lastHeartbeat;
  }

  /** The incarnation's number, 0 before the first heartbeat. */
  public long number() {
    return lastHeartbeat == null ? 0 : lastHeartbeat.incarnation();
  }

  /**
   * When the newest heartbeat arrived, by itself or in a command reply; 0 for none in this term.
   */
  public long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  /**
   * The latest time from which the lease may run: when a heartbeat was last answered or, if that is
   * later, when the incarnation was first seen. 0 for never in this term.
   */
  public long leaseStartMs() {
    return leaseStartMs;
  }

  /** Whether the heartbeat is newer than all that is known of the worker. */
  public boolean isNewer(Heartbeat heartbeat) {
    return lastHeartbeat == null
        || heartbeat.isNewerThan(lastHeartbeat.incarnation(), lastHeartbeat.sequenceNumber());
  }

  /**
   * Records the newest heartbeat.
   *
   * @return whether it is the first that arrived of its incarnation
   */
  boolean recordHeartbeat(Heartbeat heartbeat, long nowMs) {
    boolean first = lastHeartbeat == null || heartbeat.incarnation() != lastHeartbeat.incarnation();
    lastHeartbeat = heartbeat;
    lastHeartbeatMs = nowMs;
    if (first) {
      // The lease of the previous incarnation says nothing of this one's tasks.
      leaseStartMs = nowMs;
    }
    return first;
  }

  /** A heartbeat is answered now, which may renew the worker's lease. */
  void renewLease(long nowMs) {
    leaseStartMs = nowMs;
  }

  /** Whether the lease may have expired, so that nothing should start in this incarnation. */
  public boolean mayLeaseHaveExpired(long nowMs, long leaseMs) {
    return nowMs - leaseStartMs > leaseMs;
  }

  /**
   * Whether the lease has surely expired, by the worker's clock, too.
   *
   * @param renewedByOthersMs until when another node may have renewed it
   */
  public boolean hasLeaseSurelyExpired(
      long nowMs, long leaseMs, long renewedByOthersMs, long marginMs) {
    long fromMs = Math.max(leaseStartMs, renewedByOthersMs);
    return nowMs - fromMs > ControllerContext.withClockDrift(leaseMs) + marginMs;
  }
}
