package eiderfork.controller.store;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * The client of the key-value store: keeps to the store's limits, and sends the request of the
 * highest priority first.
 */
public final class StoreClient {
  /** A slow reply takes a few hundred milliseconds; past this many steps it is lost. */
  private static final double TIMEOUT_STEPS = 1.5;

  private record QueuedRequest(
      StoreRequest request, int writes, long queuedAtMs, Consumer<Reply> callback) {}

  private final ControllerContext context;
  private final StoreBudget budget;
  private final Map<RequestPriority, Queue<QueuedRequest>> queues =
      new EnumMap<>(RequestPriority.class);
  private final int[] queuedWrites = new int[RequestPriority.values().length];

  /** How long the writes of each priority were queued, since this was last drained. */
  private final Map<RequestPriority, LongSummaryStatistics> writeWaits =
      new EnumMap<>(RequestPriority.class);

  private long lastServedAtMs;

  /** Makes the client of a node that follows. */
  public StoreClient(ControllerContext context) {
    this.context = context;
    budget = new StoreBudget(context);
    for (RequestPriority priority : RequestPriority.values()) {
      queues.put(priority, new ArrayDeque<>());
      writeWaits.put(priority, new LongSummaryStatistics());
    }
    lastServedAtMs = context.nowMs();
  }

  /** Takes the leader's share of the limits. */
  public void actAsLeader() {
    budget.setLeading(true);
  }

  /** Takes a follower's share of the limits. */
  public void actAsFollower() {
    budget.setLeading(false);
  }

  /** The largest value that the store is known to accept now. */
  public double maxValueKb() {
    return budget.maxValueKb();
  }

  /**
   * Whether a watch can't be continued: the store has compacted the changes, or they are more than
   * one response may hold. Requested again, they would be so again.
   */
  public static boolean requiresFullRead(Reply reply) {
    return reply instanceof Reply.Oversized
        || reply instanceof Reply.Refused refused && refused.isGone();
  }

  /** Sends a request once the limits allow it; {@code callback} takes its reply. */
  public void send(StoreRequest request, RequestPriority priority, Consumer<Reply> callback) {
    int writes =
        request instanceof StoreRequest.Transaction transaction ? transaction.changes().size() : 0;
    queues.get(priority).add(new QueuedRequest(request, writes, context.nowMs(), callback));
    queuedWrites[priority.ordinal()] += writes;
    sendQueued();
  }

  /** How long a write of this priority would be queued. */
  public long writeWaitMs(RequestPriority priority) {
    double ahead = 0;
    for (int i = 0; i <= priority.ordinal(); i++) {
      ahead += queuedWrites[i];
    }
    return (long) (1000 * ahead / budget.writesPerS());
  }

  /** How long a request of the lowest priority would be queued. */
  public long readWaitMs() {
    int ahead = 0;
    for (Queue<QueuedRequest> queue : queues.values()) {
      ahead += queue.size();
    }
    return (long) (1000 * ahead / budget.requestsPerS());
  }

  /**
   * Whether so many changes would leave at least half of what may be written at once, and nothing
   * else is queued.
   */
  public boolean hasSpareWriteCapacity(int changes) {
    boolean idle = queues.values().stream().allMatch(Queue::isEmpty);
    return idle && budget.hasSpareWrites(changes);
  }

  /** How many writes of each priority were sent since the last call, and how long they waited. */
  public String drainWriteWaits() {
    StringBuilder text = new StringBuilder();
    writeWaits.forEach(
        (priority, waitMs) -> {
          if (waitMs.getCount() > 0) {
            text.append(priority)
                .append("={writes=")
                .append(waitMs.getCount())
                .append(" meanWaitMs=")
                .append(Math.round(waitMs.getAverage()))
                .append(" maxWaitMs=")
                .append(waitMs.getMax())
                .append("} ");
          }
        });
    writeWaits.replaceAll((priority, waitMs) -> new LongSummaryStatistics());
    return text.toString();
  }

  /** How long ago the store last replied with anything but a refusal. */
  public long sinceServedMs() {
    return context.nowMs() - lastServedAtMs;
  }

  /** Sends what is queued, as far as the limits allow now. */
  public void sendQueued() {
    for (RequestPriority priority : RequestPriority.values()) {
      Queue<QueuedRequest> queue = queues.get(priority);
      while (!queue.isEmpty()) {
        // Without its lease a leader may send nothing else, so that renewals ignore the budget.
        boolean unlimited = priority == RequestPriority.LEASE;
        if (!unlimited && !budget.hasRequest()) {
          return;
        }
        int writes = queue.peek().writes;
        if (!unlimited && writes > 0 && !budget.tryTakeWrites(writes)) {
          break;
        }
        budget.takeRequest();
        sendFirst(priority, queue);
      }
    }
  }

  private void sendFirst(RequestPriority priority, Queue<QueuedRequest> queue) {
    QueuedRequest first = queue.remove();
    queuedWrites[priority.ordinal()] -= first.writes;
    if (first.writes > 0) {
      writeWaits.get(priority).accept(context.nowMs() - first.queuedAtMs);
    }
    long timeoutMs = timeoutMs(first.request);
    context.call(
        callId -> new Effect.CallStore(callId, first.request, timeoutMs),
        reply -> {
          observe(first.request, reply);
          first.callback.accept(reply);
        });
  }

  private long timeoutMs(StoreRequest request) {
    long replyMs = (long) (context.stepMs() * TIMEOUT_STEPS);
    return request instanceof StoreRequest.Watch watch ? replyMs + watch.timeoutMs() : replyMs;
  }

  private void observe(StoreRequest request, Reply reply) {
    budget.observe(request, reply);
    boolean refused =
        reply instanceof Reply.Refused refusal
            && (refusal.isUnavailable() || refusal.isOverLimit());
    if (!refused && !(reply instanceof Reply.Unanswered)) {
      lastServedAtMs = context.nowMs();
    }
  }
}
