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
 * A client of the key-value store that respects the store's rate limits and sends queued requests
 * in order of priority.
 */
public final class StoreClient {
  /**
   * The timeout of a request, in steps ({@link ControllerContext#stepMs}). A slow reply takes a few
   * hundred milliseconds; one that takes longer than the timeout is considered lost.
   */
  private static final double TIMEOUT_STEPS = 1.5;

  private record QueuedRequest(
      StoreRequest request, int writes, long queuedAtMs, Consumer<Reply> callback) {}

  private final ControllerContext context;
  private final StoreBudget budget;
  private final Map<RequestPriority, Queue<QueuedRequest>> queues =
      new EnumMap<>(RequestPriority.class);
  private final int[] queuedWrites = new int[RequestPriority.values().length];

  /** The times that writes of each priority were queued, since the statistics were last reset. */
  private final Map<RequestPriority, LongSummaryStatistics> writeWaits =
      new EnumMap<>(RequestPriority.class);

  private long lastServedAtMs;

  /** Creates the client of a follower. */
  public StoreClient(ControllerContext context) {
    this.context = context;
    budget = new StoreBudget(context);
    for (RequestPriority priority : RequestPriority.values()) {
      queues.put(priority, new ArrayDeque<>());
      writeWaits.put(priority, new LongSummaryStatistics());
    }
    lastServedAtMs = context.nowMs();
  }

  /** Uses the leader's share of the limits from now on. */
  public void actAsLeader() {
    budget.setLeading(true);
  }

  /** Uses a follower's share of the limits from now on. */
  public void actAsFollower() {
    budget.setLeading(false);
  }

  /** Returns the size of the largest value that the store is currently known to accept. */
  public double maxValueKb() {
    return budget.maxValueKb();
  }

  /**
   * Returns whether the reply shows that a watch cannot be continued because the store has
   * compacted the changes, or because they exceed the size limit of a reply. Retrying the watch
   * would fail again; the keys have to be read instead.
   */
  public static boolean requiresFullRead(Reply reply) {
    return reply instanceof Reply.Oversized
        || reply instanceof Reply.Refused refused && refused.isGone();
  }

  /** Queues a request and sends it once the limits allow it; {@code callback} accepts its reply. */
  public void send(StoreRequest request, RequestPriority priority, Consumer<Reply> callback) {
    int writes =
        request instanceof StoreRequest.Transaction transaction ? transaction.changes().size() : 0;
    queues.get(priority).add(new QueuedRequest(request, writes, context.nowMs(), callback));
    queuedWrites[priority.ordinal()] += writes;
    sendQueued();
  }

  /** Returns the estimated time that a new write of this priority would be queued. */
  public long writeWaitMs(RequestPriority priority) {
    double writesAhead = 0;
    for (int i = 0; i <= priority.ordinal(); i++) {
      writesAhead += queuedWrites[i];
    }
    return (long) (1000 * writesAhead / budget.writesPerS());
  }

  /** Returns the estimated time that a new request of the lowest priority would be queued. */
  public long readWaitMs() {
    int requestsAhead = 0;
    for (Queue<QueuedRequest> queue : queues.values()) {
      requestsAhead += queue.size();
    }
    return (long) (1000 * requestsAhead / budget.requestsPerS());
  }

  /**
   * Returns whether no request is queued and at least half of the maximum burst of writes would
   * remain after the changes.
   */
  public boolean hasSpareWriteCapacity(int changes) {
    boolean idle = queues.values().stream().allMatch(Queue::isEmpty);
    return idle && budget.hasSpareWrites(changes);
  }

  /**
   * Returns the number and queueing times of the writes of each priority since the last call, as
   * text for the log.
   */
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

  /** Returns the time since the store last served a request. */
  public long sinceServedMs() {
    return context.nowMs() - lastServedAtMs;
  }

  /** Sends queued requests in order of priority, as far as the limits currently allow. */
  public void sendQueued() {
    for (RequestPriority priority : RequestPriority.values()) {
      Queue<QueuedRequest> queue = queues.get(priority);
      while (!queue.isEmpty()) {
        // Renewals ignore the budget: without its lease, a leader may not send anything else.
        boolean ignoresBudget = priority == RequestPriority.LEASE;
        if (!ignoresBudget && !budget.canSendRequest()) {
          return;
        }
        int writes = queue.peek().writes;
        if (!ignoresBudget && writes > 0 && !budget.tryTakeWrites(writes)) {
          break;
        }
        budget.recordRequest();
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
