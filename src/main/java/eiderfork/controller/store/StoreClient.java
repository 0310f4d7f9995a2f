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
  private static final double LEADER_WRITES = 0.85;

  /**
   * The leader's share of the common limit on requests. It answers from memory and needs few; a
   * peer that can't reach it reads for every poll.
   */
  private static final double LEADER_REQUESTS = 0.5;

  private record Waiting(StoreRequest op, int writes, long sinceMs, Consumer<Reply> then) {}

  private final ControllerContext context;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final Map<RequestPriority, Queue<Waiting>> queues = new EnumMap<>(RequestPriority.class);

  /** How long the writes of each urgency waited for their turn since this was last told. */
  private final Map<RequestPriority, LongSummaryStatistics> waits =
      new EnumMap<>(RequestPriority.class);

  /** Whether the service has been seen to hold to the lower limits that the settings announce. */
  private boolean lowered;

  private boolean leading;

  private final int[] queuedWrites = new int[RequestPriority.values().length];
  private long lastServedMs;

  /** Makes the way to the state service of a node that follows. */
  public StoreClient(ControllerContext context) {
    this.context = context;
    requests = new TokenBucket(1, 1, context.nowMs);
    writes = new TokenBucket(1, 1, context.nowMs);
    for (RequestPriority urgency : RequestPriority.values()) {
      queues.put(urgency, new ArrayDeque<>());
      waits.put(urgency, new LongSummaryStatistics());
    }
    lastServedMs = context.nowMs;
    leading(false);
  }

  /** Takes the leader's share of the limits, or a follower's. */
  public void leading(boolean leads) {
    leading = leads;
    int followers = Math.max(1, context.settings.peers().size());
    double rps = limits().rps() * (leading ? LEADER_REQUESTS : (1 - LEADER_REQUESTS) / followers);
    double writeRps =
        limits().writeRps() * (leading ? LEADER_WRITES : (1 - LEADER_WRITES) / followers);
    requests.rate(rps, Math.max(1, rps));
    writes.rate(writeRps, Math.max(1, writeRps));
  }

  private Settings.StateLimits limits() {
    return lowered ? context.settings.nextStateLimits() : context.settings.stateLimits();
  }

  /** The largest value that the service is known to take now. */
  public double valueKb() {
    return limits().valueKb();
  }

  /**
   * Whether a watch can't be followed on: the service has forgotten the changes, or they are more
   * than one response may hold. Asked for again, they would be so again.
   */
  public static boolean mustReadAnew(Reply reply) {
    return reply instanceof Reply.Oversized
        || reply instanceof Reply.Refused refused && refused.status() == 410;
  }

  /** Sends an operation once its turn has come, and has {@code then} take its reply. */
  public void send(StoreRequest op, RequestPriority urgency, Consumer<Reply> then) {
    int cost = op instanceof StoreRequest.Transact t ? t.changes().size() : 0;
    queues.get(urgency).add(new Waiting(op, cost, context.nowMs, then));
    queuedWrites[urgency.ordinal()] += cost;
    pump();
  }

  /** How long a write of this urgency would wait for its turn. */
  public long waitMs(RequestPriority urgency) {
    double ahead = 0;
    for (int i = 0; i <= urgency.ordinal(); i++) {
      ahead += queuedWrites[i];
    }
    return (long) (1000 * ahead / writes.perS());
  }

  /**
   * Whether so many changes would leave at least half of what may be written at once, and nothing
   * else waits.
   */
  public boolean hasSpareWrites(int changes) {
    boolean idle = queues.values().stream().allMatch(Queue::isEmpty);
    double kept = writes.burst() / 2;
    return idle && writes.has(Math.min(changes + kept, writes.burst()), context.nowMs);
  }

  /** How long a request of the least urgency would wait for its turn. */
  public long readWaitMs() {
    int ahead = 0;
    for (Queue<Waiting> queue : queues.values()) {
      ahead += queue.size();
    }
    return (long) (1000 * ahead / requests.perS());
  }

  /** Tells how long the writes of each urgency waited for their turn since the last time. */
  public String tellWaits() {
    StringBuilder text = new StringBuilder();
    waits.forEach(
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
    waits.replaceAll((urgency, it) -> new LongSummaryStatistics());
    return text.toString();
  }

  /** How long ago the service last answered with anything but a refusal. */
  public long servedAgeMs() {
    return context.nowMs - lastServedMs;
  }

  /** Sends what waits, as far as the limits allow now. */
  public void pump() {
    for (Map.Entry<RequestPriority, Queue<Waiting>> entry : queues.entrySet()) {
      Queue<Waiting> queue = entry.getValue();
      while (!queue.isEmpty()) {
        Waiting next = queue.peek();
        boolean lease = entry.getKey() == RequestPriority.LEASE;
        // A lease renewal goes out whatever the budget says: without the lease nothing else does.
        if (!lease && !requests.has(1, context.nowMs)) {
          return;
        }
        if (!lease && next.writes > 0 && !writes.take(next.writes, context.nowMs)) {
          break;
        }
        requests.take(1, context.nowMs);
        queue.remove();
        queuedWrites[entry.getKey().ordinal()] -= next.writes;
        if (next.writes > 0) {
          waits.get(entry.getKey()).accept(context.nowMs - next.sinceMs);
        }
        dispatch(next);
      }
    }
  }

  private void dispatch(Waiting waiting) {
    long timeout = (long) (context.stepMs() * TIMEOUT_STEPS);
    if (waiting.op instanceof StoreRequest.Watch watch) {
      timeout += watch.waitMs();
    }
    long timeoutMs = timeout;
    context.ask(
        call -> new Effect.AskState(call, waiting.op, timeoutMs),
        reply -> {
          note(waiting.op, reply);
          waiting.then.accept(reply);
        });
  }

  private void note(StoreRequest op, Reply reply) {
    boolean refused = reply instanceof Reply.Refused it && (it.status() == 503 || it.isOverLimit());
    noteLowered(op, reply);
    if (refused && ((Reply.Refused) reply).isOverLimit()) {
      requests.drain(context.nowMs);
      writes.drain(context.nowMs);
    }
    if (!refused && !(reply instanceof Reply.Unanswered)) {
      lastServedMs = context.nowMs;
    }
  }

  /**
   * The limits change without notice. This node keeps to those of the settings, so a change that is
   * refused for its size or rate tells that the lower ones are in force. A lease that has ended is
   * refused in the same way, and tells nothing.
   */
  private void noteLowered(StoreRequest op, Reply reply) {
    if (lowered
        || !(op instanceof StoreRequest.Transact transact)
        || !(reply instanceof Reply.Refused refused)) {
      return;
    }
    boolean onLease = transact.changes().stream().anyMatch(change -> change.lease() != 0);
    if (refused.isOverLimit() || refused.isMalformed() && !onLease) {
      LOG.info("a change got {}: the limits to come are taken to be in force", refused.status());
      lowered = true;
      leading(leading);
    }
  }
}
