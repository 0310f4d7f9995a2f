package eiderfork.controller.election;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;

/**
 * The leader's lease in the key-value store: its renewal, and the time until which it is certain to
 * be valid. The leader key is attached to the lease, so the store deletes the key when it expires.
 */
final class LeaderLease {
  /** The number of renewals per lease duration. With three, two lost renewals are tolerated. */
  private static final int RENEWALS_PER_LEASE = 3;

  /**
   * The maximum worker lease, in steps, that counts when the leader's lease is derived from it.
   * Users wait for a new leader too, and should not wait longer because worker leases are long.
   */
  private static final int MAX_LEASE_STEPS = 10;

  /**
   * The share of the lease that the leader leaves unused, to allow for slow clocks and late
   * replies.
   */
  private static final double SAFETY_MARGIN_SHARE = 0.1;

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
   * Creates a lease that is not held.
   *
   * @param backoff the backoff after failed renewals, shared with the election
   */
  LeaderLease(ControllerContext context, StoreClient store, long durationMs, Backoff backoff) {
    this.context = context;
    this.store = store;
    this.durationMs = durationMs;
    this.backoff = backoff;
  }

  /** Returns the duration of a leader's lease under the settings of the context. */
  static long durationMs(ControllerContext context) {
    long cappedWorkerLeaseMs =
        Math.min(context.workerLeaseMs(), MAX_LEASE_STEPS * context.stepMs());
    return (long) (cappedWorkerLeaseMs * context.settings.operator().leaderLeaseShare());
  }

  /**
   * Starts using a granted lease, which is renewed at the next tick.
   *
   * @param requestedMs the time of the request, which is the earliest time at which the lease can
   *     have started
   */
  void startUsing(long grantedLeaseId, long requestedMs) {
    held = true;
    leaseId = grantedLeaseId;
    validUntilMs = requestedMs + usableMs();
    renewalPending = false;
    nextRenewalMs = context.nowMs();
  }

  /** Stops using the lease, which expires in the store unless it is released. */
  void stopUsing() {
    held = false;
    validUntilMs = 0;
  }

  /** Releases the lease in the store, which deletes the leader key too. */
  void release() {
    store.send(new StoreRequest.RevokeLease(leaseId), RequestPriority.LEASE, reply -> {});
  }

  /** Returns whether the lease is certain to be valid. */
  boolean isValid() {
    return held && context.nowMs() < validUntilMs;
  }

  /** Renews the lease if due, and runs {@code onLost} if the store no longer has it. */
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
    return (long) (durationMs * (1 - SAFETY_MARGIN_SHARE));
  }
}
