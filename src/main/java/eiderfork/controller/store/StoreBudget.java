package eiderfork.controller.store;

import eiderfork.config.Settings;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's share of the store's rate limits on requests and writes, which apply to all nodes.
 */
final class StoreBudget {
  private static final Logger LOG = LoggerFactory.getLogger(StoreBudget.class);

  /** The leader's share of the write limit; its peers divide the rest. */
  private static final double LEADER_WRITE_SHARE = 0.85;

  /**
   * The leader's share of the request limit. The leader answers queries from memory and needs few
   * requests; a peer that cannot reach the leader reads the store for every query.
   */
  private static final double LEADER_REQUEST_SHARE = 0.5;

  private final ControllerContext context;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private boolean leading;

  /** True once a reply shows that the store enforces the lower limits announced in the settings. */
  private boolean limitsLowered;

  /** Creates a follower's budget. */
  StoreBudget(ControllerContext context) {
    this.context = context;
    requests = new TokenBucket(1, 1, context.nowMs());
    writes = new TokenBucket(1, 1, context.nowMs());
    setLeading(false);
  }

  /** Sets the budget to the leader's share of the limits, or to a follower's. */
  void setLeading(boolean isLeader) {
    leading = isLeader;
    double requestsPerS = limits().requestsPerS() * share(LEADER_REQUEST_SHARE);
    double writesPerS = limits().writesPerS() * share(LEADER_WRITE_SHARE);
    requests.setRate(requestsPerS, Math.max(1, requestsPerS));
    writes.setRate(writesPerS, Math.max(1, writesPerS));
  }

  private double share(double leaderShare) {
    int followers = Math.max(1, context.settings.peerEndpoints().size());
    return leading ? leaderShare : (1 - leaderShare) / followers;
  }

  private Settings.StoreLimits limits() {
    return limitsLowered ? context.settings.nextStoreLimits() : context.settings.storeLimits();
  }

  /** Returns the size of the largest value that the store is currently known to accept. */
  double maxValueKb() {
    return limits().valueKb();
  }

  /** Returns the rate at which this node may send requests. */
  double requestsPerS() {
    return requests.tokensPerS();
  }

  /** Returns the rate at which this node may change keys. */
  double writesPerS() {
    return writes.tokensPerS();
  }

  /** Returns whether the budget allows a request now. */
  boolean canSendRequest() {
    return requests.hasTokens(1, context.nowMs());
  }

  /** Deducts a request from the budget, unless the budget is used up. */
  void recordRequest() {
    requests.tryTake(1, context.nowMs());
  }

  /** Deducts changes of keys from the budget; returns false if it does not allow them yet. */
  boolean tryTakeWrites(int changes) {
    return writes.tryTake(changes, context.nowMs());
  }

  /**
   * Returns whether at least half of the maximum burst of writes would remain after the changes.
   */
  boolean hasSpareWrites(int changes) {
    double reserve = writes.burst() / 2;
    return writes.hasTokens(Math.min(changes + reserve, writes.burst()), context.nowMs());
  }

  /** Adjusts the budget if a reply shows that a limit of the store was exceeded. */
  void observe(StoreRequest request, Reply reply) {
    if (!(reply instanceof Reply.Refused refused)) {
      return;
    }
    detectLoweredLimits(request, refused);
    if (refused.isOverLimit()) {
      requests.drain(context.nowMs());
      writes.drain(context.nowMs());
    }
  }

  /**
   * Detects that the store enforces the lower limits, which come into force without notice. Since
   * this node respects the limits in the settings, a write that is refused for its size or rate
   * shows that the lower limits apply. A write with an expired lease is refused with the same
   * status as an oversized one and is therefore ignored.
   */
  private void detectLoweredLimits(StoreRequest request, Reply.Refused refused) {
    if (limitsLowered || !(request instanceof StoreRequest.Transaction transaction)) {
      return;
    }
    boolean usesLease = transaction.changes().stream().anyMatch(change -> change.leaseId() != 0);
    if (refused.isOverLimit() || refused.isMalformed() && !usesLease) {
      LOG.warn("store-limits-lowered status={}", refused.status());
      limitsLowered = true;
      setLeading(leading);
    }
  }
}
