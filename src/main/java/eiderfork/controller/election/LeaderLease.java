package eiderfork.controller.election;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;

/**
 * The leader's lease in the key-value store: how long it surely holds, and its renewal. The leader
 * key is attached to it and goes when it expires.
 */
final class LeaderLease {
  /** A lease is renewed this many times in its life, so that two lost renewals are survived. */
  private static final int RENEWALS_PER_LEASE = 3;

  /**
   * The share of the workers' lease that the leader's takes is of no more than this many steps.
   * Users wait for a new leader as well as workers, and not longer where workers' leases are long.
   */
  private static final int MAX_LEASE_STEPS = 10;

  /** How much of its lease a leader leaves unused, for slow clocks and late replies. */
  private static final double UNUSED_SHARE = 0.1;

  private final ControllerContext context;
  private final StoreClient store;
  private final Backoff backoff;
  private final long durationMs;

  private boolean held;
  private long leaseId;
  private long validUntilMs;
  private boolean renewalPending;
  private long nextRenewalMs;

  /**
   * Makes a lease that is not held.
   *
   * @param backoff the pauses after failed renewals, which elections share
   */
  LeaderLease(ControllerContext context, StoreClient store, long durationMs, Backoff backoff) {
    this.context = context;
    this.store = store;
    this.durationMs = durationMs;
    this.backoff = backoff;
  }

  /** How long a leader's lease lasts under these settings. */
  static long durationMs(ControllerContext context) {
    long longestMs = Math.min(context.workerLeaseMs(), MAX_LEASE_STEPS * context.stepMs());
    return (long) (longestMs * context.settings.operator().leaderLeaseShare());
  }

  /**
   * Holds a lease that was granted, and renews it at the next tick.
   *
   * @param requestedMs when the lease was requested, which is when it began to run at the earliest
   */
  void hold(long grantedLeaseId, long requestedMs) {
    held = true;
    leaseId = grantedLeaseId;
    validUntilMs = requestedMs + usableMs();
    renewalPending = false;
    nextRenewalMs = context.nowMs();
  }

  /** Counts on the lease no longer; it is left to expire unless it is released. */
  void giveUp() {
    held = false;
    validUntilMs = 0;
  }

  /** Ends the lease in the store, and with it the leader key. */
  void release() {
    store.send(new StoreRequest.RevokeLease(leaseId), RequestPriority.LEASE, reply -> {});
  }

  /** Whether the lease surely holds. */
  boolean isValid() {
    return held && context.nowMs() < validUntilMs;
  }

  /** Renews the lease in time; {@code onLost} is run where the store does not have it any more. */
  void renewIfDue(Runnable onLost) {
    if (!renewalPending && context.nowMs() >= nextRenewalMs) {
      renew(onLost);
    }
  }

  private void renew(Runnable onLost) {
    renewalPending = true;
    long sentMs = context.nowMs();
    nextRenewalMs = sentMs + durationMs / RENEWALS_PER_LEASE;
    long renewedLeaseId = leaseId;
    store.send(
        new StoreRequest.RenewLease(renewedLeaseId),
        RequestPriority.LEASE,
        reply -> {
          renewalPending = false;
          if (held && leaseId == renewedLeaseId) {
            handleRenewalReply(reply, sentMs, onLost);
          }
        });
  }

  private void handleRenewalReply(Reply reply, long sentMs, Runnable onLost) {
    if (reply instanceof Reply.Leased) {
      backoff.reset();
      validUntilMs = sentMs + usableMs();
    } else if (reply instanceof Reply.Refused refused && refused.isNotFound()) {
      onLost.run();
    } else {
      nextRenewalMs = context.nowMs() + backoff.nextPauseMs(context.random);
    }
  }

  private long usableMs() {
    return (long) (durationMs * (1 - UNUSED_SHARE));
  }
}
