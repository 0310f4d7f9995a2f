package eiderfork.controller.store;

import eiderfork.config.Settings;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's share of the store's limits on requests and writes, which all nodes have in common.
 */
final class StoreBudget {
  private static final Logger LOG = LoggerFactory.getLogger(StoreBudget.class);

  /** The leader's share of the common limit on writes; its peers divide the rest. */
  private static final double LEADER_WRITE_SHARE = 0.85;

  /**
   * The leader's share of the common limit on requests. It answers from memory and needs few; a
   * peer that can't reach it reads for every poll.
   */
  private static final double LEADER_REQUEST_SHARE = 0.5;

  private final ControllerContext context;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private boolean leading;

  /** Whether the store has been seen to enforce the lower limits that the settings announce. */
  private boolean limitsLowered;

  /** Makes the budget of a follower. */
  StoreBudget(ControllerContext context) {
    this.context = context;
    requests = new TokenBucket(1, 1, context.nowMs());
    writes = new TokenBucket(1, 1, context.nowMs());
    setLeading(false);
  }

  /** Takes the leader's share of the limits, or a follower's. */
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

  /** The largest value that the store is known to accept now. */
  double maxValueKb() {
    return limits().valueKb();
  }

  /** The rate at which this node may send requests. */
  double requestsPerS() {
    return requests.tokensPerS();
  }

  /** The rate at which this node may change keys. */
  double writesPerS() {
    return writes.tokensPerS();
  }

  /** Whether a request may be sent now. */
  boolean hasRequest() {
    return requests.hasTokens(1, context.nowMs());
  }

  /** Counts a request, as far as the budget has one. */
  void takeRequest() {
    requests.tryTake(1, context.nowMs());
  }

  /** Counts so many changes of keys; false where the budget doesn't have them yet. */
  boolean tryTakeWrites(int changes) {
    return writes.tryTake(changes, context.nowMs());
  }

  /** Whether so many changes would leave at least half of what may be written at once. */
  boolean hasSpareWrites(int changes) {
    double reserve = writes.burst() / 2;
    return writes.hasTokens(Math.min(changes + reserve, writes.burst()), context.nowMs());
  }

  /** Adapts to what a reply shows of the store's limits. */
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
   * The limits change without notice. This node keeps to those of the settings, so a change that is
   * refused for its size or rate shows that the lower ones are in force. A change on a lease that
   * has ended is refused with the same status, and shows nothing.
   */
  private void detectLoweredLimits(StoreRequest request, Reply.Refused refused) {
    if (limitsLowered || !(request instanceof StoreRequest.Transaction transaction)) {
      return;
    }
    boolean onLease = transaction.changes().stream().anyMatch(change -> change.leaseId() != 0);
    if (refused.isOverLimit() || refused.isMalformed() && !onLease) {
      LOG.warn("store-limits-lowered status={}", refused.status());
      limitsLowered = true;
      setLeading(leading);
    }
  }
}
