package eiderfork.controller.store;

import eiderfork.config.Settings;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.TokenBucket;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The way to the state service: keeps its limits, the most urgent call first. */
public final class StoreClient {
  private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);

  /** A slow answer takes a few hundred milliseconds; past this many steps it is lost. */
  private static final double TIMEOUT_STEPS = 1.5;

  /** The leader's share of the common limit on writes; its peers divide the rest. */
  private static final double LEADER_WRITE_SHARE = 0.85;

  /**
   * The leader's share of the common limit on requests. It answers from memory and needs few; a
   * peer that can't reach it reads for every poll.
   */
  private static final double LEADER_REQUEST_SHARE = 0.5;

  private record QueuedRequest(
      StoreRequest request, int writes, long queuedAtMs, Consumer<Reply> callback) {}

  private final ControllerContext context;
  private final TokenBucket requestBudget;
  private final TokenBucket writeBudget;
  private final Map<RequestPriority, Queue<QueuedRequest>> queues =
      new EnumMap<>(RequestPriority.class);

  /** How long the writes of each urgency waited for their turn since this was last told. */
  private final Map<RequestPriority, LongSummaryStatistics> writeWaits =
      new EnumMap<>(RequestPriority.class);

  /** Whether the service has been seen to hold to the lower limits that the settings announce. */
  private boolean limitsLowered;

  private boolean leading;

  private final int[] queuedWrites = new int[RequestPriority.values().length];
  private long lastServedAtMs;

  /** Makes the way to the state service of a node that follows. */
  public StoreClient(ControllerContext context) {
    this.context = context;
    requestBudget = new TokenBucket(1, 1, context.nowMs);
    writeBudget = new TokenBucket(1, 1, context.nowMs);
    for (RequestPriority urgency : RequestPriority.values()) {
      queues.put(urgency, new ArrayDeque<>());
      writeWaits.put(urgency, new LongSummaryStatistics());
    }
    lastServedAtMs = context.nowMs;
    leading(false);
  }

  /** Takes the leader's share of the limits, or a follower's. */
  public void leading(boolean leads) {
    leading = leads;
    int followers = Math.max(1, context.settings.peerEndpoints().size());
    double rps =
        limits().requestsPerS()
            * (leading ? LEADER_REQUEST_SHARE : (1 - LEADER_REQUEST_SHARE) / followers);
    double writeRps =
        limits().writesPerS()
            * (leading ? LEADER_WRITE_SHARE : (1 - LEADER_WRITE_SHARE) / followers);
    requestBudget.setRate(rps, Math.max(1, rps));
    writeBudget.setRate(writeRps, Math.max(1, writeRps));
  }

  private Settings.StoreLimits limits() {
    return limitsLowered ? context.settings.nextStoreLimits() : context.settings.storeLimits();
  }

  /** The largest value that the service is known to take now. */
  public double maxValueKb() {
    return limits().valueKb();
  }

  /**
   * Whether a watch can't be followed on: the service has forgotten the changes, or they are more
   * than one response may hold. Asked for again, they would be so again.
   */
  public static boolean requiresFullRead(Reply reply) {
    return reply instanceof Reply.Oversized
        || reply instanceof Reply.Refused refused && refused.status() == 410;
  }

  /** Sends an operation once its turn has come, and has {@code onComplete} take its reply. */
  public void send(StoreRequest request, RequestPriority urgency, Consumer<Reply> onComplete) {
    int cost = request instanceof StoreRequest.Transaction t ? t.changes().size() : 0;
    queues.get(urgency).add(new QueuedRequest(request, cost, context.nowMs, onComplete));
    queuedWrites[urgency.ordinal()] += cost;
    sendQueued();
  }

  /** How long a write of this urgency would wait for its turn. */
  public long writeWaitMs(RequestPriority urgency) {
    double ahead = 0;
    for (int i = 0; i <= urgency.ordinal(); i++) {
      ahead += queuedWrites[i];
    }
    return (long) (1000 * ahead / writeBudget.tokensPerS());
  }

  /**
   * Whether so many changes would leave at least half of what may be written at once, and nothing
   * else waits.
   */
  public boolean hasSpareWriteCapacity(int changes) {
    boolean idle = queues.values().stream().allMatch(Queue::isEmpty);
    double kept = writeBudget.burst() / 2;
    return idle
        && writeBudget.hasTokens(Math.min(changes + kept, writeBudget.burst()), context.nowMs);
  }

  /** How long a request of the least urgency would wait for its turn. */
  public long readWaitMs() {
    int ahead = 0;
    for (Queue<QueuedRequest> queue : queues.values()) {
      ahead += queue.size();
    }
    return (long) (1000 * ahead / requestBudget.tokensPerS());
  }

  /** Tells how long the writes of each urgency waited for their turn since the last time. */
  public String drainWriteWaits() {
    StringBuilder text = new StringBuilder();
    writeWaits.forEach(
        (urgency, it) -> {
          if (it.getCount() > 0) {
            text.append(urgency)
                .append(" ")
                .append(it.getCount())
                .append(" (mean ")
                .append(Math.round(it.getAverage()))
                .append(", most ")
                .append(it.getMax())
                .append(" ms) ");
          }
        });
    writeWaits.replaceAll((urgency, it) -> new LongSummaryStatistics());
    return text.toString();
  }

  /** How long ago the service last answered with anything but a refusal. */
  public long sinceServedMs() {
    return context.nowMs - lastServedAtMs;
  }

  /** Sends what waits, as far as the limits allow now. */
  public void sendQueued() {
    for (Map.Entry<RequestPriority, Queue<QueuedRequest>> entry : queues.entrySet()) {
      Queue<QueuedRequest> queue = entry.getValue();
      while (!queue.isEmpty()) {
        QueuedRequest next = queue.peek();
        boolean lease = entry.getKey() == RequestPriority.LEASE;
        // A lease renewal goes out whatever the budget says: without the lease nothing else does.
        if (!lease && !requestBudget.hasTokens(1, context.nowMs)) {
          return;
        }
        if (!lease && next.writes > 0 && !writeBudget.tryTake(next.writes, context.nowMs)) {
          break;
        }
        requestBudget.tryTake(1, context.nowMs);
        queue.remove();
        queuedWrites[entry.getKey().ordinal()] -= next.writes;
        if (next.writes > 0) {
          writeWaits.get(entry.getKey()).accept(context.nowMs - next.queuedAtMs);
        }
        dispatch(next);
      }
    }
  }

  private void dispatch(QueuedRequest queued) {
    long timeout = (long) (context.stepMs() * TIMEOUT_STEPS);
    if (queued.request instanceof StoreRequest.Watch watch) {
      timeout += watch.timeoutMs();
    }
    long timeoutMs = timeout;
    context.call(
        call -> new Effect.CallStore(call, queued.request, timeoutMs),
        reply -> {
          recordReply(queued.request, reply);
          queued.callback.accept(reply);
        });
  }

  private void recordReply(StoreRequest request, Reply reply) {
    boolean refused = reply instanceof Reply.Refused it && (it.status() == 503 || it.isOverLimit());
    detectLoweredLimits(request, reply);
    if (refused && ((Reply.Refused) reply).isOverLimit()) {
      requestBudget.drain(context.nowMs);
      writeBudget.drain(context.nowMs);
    }
    if (!refused && !(reply instanceof Reply.Unanswered)) {
      lastServedAtMs = context.nowMs;
    }
  }

  /**
   * The limits change without notice. This node keeps to those of the settings, so a change that is
   * refused for its size or rate tells that the lower ones are in force. A lease that has ended is
   * refused in the same way, and tells nothing.
   */
  private void detectLoweredLimits(StoreRequest request, Reply reply) {
    if (limitsLowered
        || !(request instanceof StoreRequest.Transaction transact)
        || !(reply instanceof Reply.Refused refused)) {
      return;
    }
    boolean onLease = transact.changes().stream().anyMatch(change -> change.leaseId() != 0);
    if (refused.isOverLimit() || refused.isMalformed() && !onLease) {
      LOG.info("a change got {}: the limits to come are taken to be in force", refused.status());
      limitsLowered = true;
      leading(leading);
    }
  }
}
