package eiderfork.loadtest;

import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.net.HttpServer;
import eiderfork.wire.MalformedMessageException;
import eiderfork.wire.StoreServerCodec;
import eiderfork.wire.StoreServerCodec.RawChange;
import eiderfork.wire.StoreServerCodec.RawItem;
import eiderfork.wire.StoreServerCodec.RawTransaction;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A key-value store with compare-and-swap transactions, leases, watches, and rate and size limits.
 */
final class EmulatedStore {
  /** Number of changes kept for watches; a watch that lags further behind gets status 410. */
  private static final int MAX_LOGGED_CHANGES = 10_000;

  private static final int MAX_PAGE_ITEMS = 1000;
  private static final int MAX_PAGE_BYTES = 512 * 1024;
  private static final byte[] EMPTY_JSON = "{}".getBytes(StandardCharsets.UTF_8);

  private record Stored(String value, long version, long lease) {}

  private static final class Lease {
    final long ttlMs;
    final Set<String> keys = new HashSet<>();
    long expiresMs;

    Lease(long ttlMs) {
      this.ttlMs = ttlMs;
    }
  }

  private record Watch(
      HttpServer.Exchange exchange, String prefix, long afterRevision, long deadlineMs) {}

  private final LoadTestSettings.StoreLimits limits;
  private final EventLoop loop;
  private final UniformRandomProvider random;
  private final CellCounters counters;
  private final TokenBucket requestBudget;
  private final TokenBucket writeBudget;
  private final TreeMap<String, Stored> values = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Deque<RawItem> changeLog = new ArrayDeque<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision = 1;
  private long lastLeaseId;

  EmulatedStore(
      LoadTestSettings.StoreLimits limits,
      EventLoop loop,
      UniformRandomProvider random,
      CellCounters counters) {
    this.limits = limits;
    this.loop = loop;
    this.random = random;
    this.counters = counters;
    requestBudget = new TokenBucket(limits.rps(), limits.rps(), SteadyClock.nowMs());
    writeBudget = new TokenBucket(limits.writeRps(), limits.writeRps(), SteadyClock.nowMs());
  }

  /** Stores a value as if it had been written before the run. */
  void preload(String key, String value) {
    values.put(key, new Stored(value, ++revision, 0));
  }

  int keyCount() {
    return values.size();
  }

  void handle(HttpServer.Exchange exchange) {
    counters.stateRequests++;
    counters.stateBytesIn += exchange.body().length;
    if (!requestBudget.tryTake(1, SteadyClock.nowMs())) {
      counters.stateRefused++;
      respond(exchange, 429, EMPTY_JSON);
      return;
    }
    try {
      dispatch(exchange);
    } catch (MalformedMessageException | NumberFormatException e) {
      respond(exchange, 400, EMPTY_JSON);
    }
  }

  private void dispatch(HttpServer.Exchange exchange) throws MalformedMessageException {
    String path = exchange.path();
    if (path.startsWith("/keys/")) {
      handleGet(exchange, path.substring("/keys/".length()));
    } else if (path.startsWith("/keys?")) {
      handleRange(exchange, new QueryStringDecoder(path));
    } else if (path.equals("/multi")) {
      handleTransaction(exchange, StoreServerCodec.decodeTransaction(exchange.body()));
    } else if (path.startsWith("/follow?")) {
      handleWatch(exchange, new QueryStringDecoder(path));
    } else if (path.equals("/leases")) {
      handleGrant(exchange, StoreServerCodec.decodeLeaseMs(exchange.body()));
    } else if (path.startsWith("/leases/")) {
      handleLease(exchange, path.substring("/leases/".length()));
    } else {
      respond(exchange, 400, EMPTY_JSON);
    }
  }

  private void handleGet(HttpServer.Exchange exchange, String key) {
    Stored stored = values.get(key);
    if (stored == null) {
      respond(exchange, 404, StoreServerCodec.encodeRevision(revision));
    } else {
      RawItem item = new RawItem(key, stored.value, stored.version);
      respond(exchange, 200, StoreServerCodec.encodeItem(item));
    }
  }

  private static String parameter(QueryStringDecoder query, String name, String fallback) {
    List<String> values = query.parameters().get(name);
    return values == null ? fallback : values.get(0);
  }

  private void handleRange(HttpServer.Exchange exchange, QueryStringDecoder query) {
    String prefix = parameter(query, "Starts", "");
    String after = parameter(query, "After", "");
    int maxItems = Math.min(MAX_PAGE_ITEMS, Integer.parseInt(parameter(query, "Page", "1000")));
    var range = after.isEmpty() ? values.tailMap(prefix, true) : values.tailMap(after, false);
    List<RawItem> items = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Stored> entry : range.entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      bytes += entry.getKey().length() + entry.getValue().value.length();
      if (items.size() == maxItems || bytes > MAX_PAGE_BYTES && !items.isEmpty()) {
        more = true;
        break;
      }
      Stored stored = entry.getValue();
      items.add(new RawItem(entry.getKey(), stored.value, stored.version));
    }
    respond(exchange, 200, StoreServerCodec.encodePage(items, more, revision));
  }

  private void handleTransaction(HttpServer.Exchange exchange, RawTransaction transaction) {
    int changes = transaction.changes().size();
    counters.stateWrites += changes;
    if (!writeBudget.tryTake(changes, SteadyClock.nowMs())) {
      counters.stateRefused++;
      respond(exchange, 429, EMPTY_JSON);
      return;
    }
    if (!isWithinLimits(transaction)) {
      respond(exchange, 400, EMPTY_JSON);
      return;
    }
    List<String> failed = new ArrayList<>();
    for (StoreRequest.Condition condition : transaction.conditions()) {
      Stored stored = values.get(condition.key());
      if ((stored == null ? 0 : stored.version) != condition.version()) {
        failed.add(condition.key());
      }
    }
    if (!failed.isEmpty()) {
      counters.stateConflicts++;
      respond(exchange, 409, StoreServerCodec.encodeConflict(failed, revision));
      return;
    }
    if (changes > 0) {
      revision++;
      transaction.changes().forEach(this::apply);
      notifyWatches(transaction.changes().stream().map(RawChange::key).toList());
    }
    respond(exchange, 200, StoreServerCodec.encodeRevision(revision));
  }

  private boolean isWithinLimits(RawTransaction transaction) {
    if (transaction.changes().size() > limits.txnOps()
        || transaction.conditions().size() > 4 * limits.txnOps()) {
      return false;
    }
    for (RawChange change : transaction.changes()) {
      if (change.value() != null && change.value().length() > limits.valueKb() * 1024) {
        return false;
      }
      if (change.lease() != 0 && !leases.containsKey(change.lease())) {
        return false;
      }
    }
    return true;
  }

  private void apply(RawChange change) {
    Stored before = values.get(change.key());
    if (before != null && before.lease != 0 && leases.containsKey(before.lease)) {
      leases.get(before.lease).keys.remove(change.key());
    }
    if (change.value() == null) {
      values.remove(change.key());
    } else {
      values.put(change.key(), new Stored(change.value(), revision, change.lease()));
      if (change.lease() != 0) {
        leases.get(change.lease()).keys.add(change.key());
      }
    }
    changeLog.addLast(new RawItem(change.key(), change.value(), revision));
    if (changeLog.size() > MAX_LOGGED_CHANGES) {
      changeLog.removeFirst();
    }
  }

  private void handleWatch(HttpServer.Exchange exchange, QueryStringDecoder query) {
    long after = Long.parseLong(parameter(query, "After", "0"));
    long blockMs = Long.parseLong(parameter(query, "BlockMs", "0"));
    String prefix = parameter(query, "Starts", "");
    if (changeLog.size() == MAX_LOGGED_CHANGES && changeLog.peekFirst().version() > after + 1) {
      respond(exchange, 410, EMPTY_JSON);
      return;
    }
    Watch watch = new Watch(exchange, prefix, after, SteadyClock.nowMs() + blockMs);
    if (!respondIfDue(watch, SteadyClock.nowMs())) {
      watches.add(watch);
    }
  }

  /** Responds to a watch that has changes or whose deadline has passed; returns whether it did. */
  private boolean respondIfDue(Watch watch, long nowMs) {
    List<RawItem> changes = new ArrayList<>();
    for (Iterator<RawItem> it = changeLog.descendingIterator(); it.hasNext(); ) {
      RawItem item = it.next();
      if (item.version() <= watch.afterRevision) {
        break;
      }
      if (item.key().startsWith(watch.prefix)) {
        changes.add(0, item);
      }
    }
    if (changes.isEmpty() && nowMs < watch.deadlineMs) {
      return false;
    }
    respond(watch.exchange, 200, StoreServerCodec.encodeWatchLog(changes, revision));
    return true;
  }

  private void notifyWatches(List<String> changed) {
    long nowMs = SteadyClock.nowMs();
    watches.removeIf(
        watch ->
            changed.stream().anyMatch(key -> key.startsWith(watch.prefix))
                && respondIfDue(watch, nowMs));
  }

  private void handleGrant(HttpServer.Exchange exchange, long ttlMs) {
    Lease lease = new Lease(ttlMs);
    lease.expiresMs = SteadyClock.nowMs() + ttlMs;
    leases.put(++lastLeaseId, lease);
    respond(exchange, 200, StoreServerCodec.encodeLease(lastLeaseId));
  }

  private void handleLease(HttpServer.Exchange exchange, String idAndAction) {
    boolean isRenewal = idAndAction.endsWith("/renew");
    long id =
        Long.parseLong(
            isRenewal ? idAndAction.substring(0, idAndAction.indexOf('/')) : idAndAction);
    Lease lease = leases.get(id);
    if (lease == null) {
      respond(exchange, 404, EMPTY_JSON);
    } else if (isRenewal) {
      lease.expiresMs = SteadyClock.nowMs() + lease.ttlMs;
      respond(exchange, 200, StoreServerCodec.encodeLease(id));
    } else {
      expireLease(id);
      respond(exchange, 200, EMPTY_JSON);
    }
  }

  private void expireLease(long id) {
    Lease lease = leases.remove(id);
    if (!lease.keys.isEmpty()) {
      revision++;
      List<String> removed = List.copyOf(lease.keys);
      removed.forEach(key -> apply(new RawChange(key, null, 0)));
      notifyWatches(removed);
    }
  }

  /** Expires leases and responds to watches whose deadline has passed. */
  void tick() {
    long nowMs = SteadyClock.nowMs();
    List<Long> expired = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (nowMs > lease.expiresMs) {
            expired.add(id);
          }
        });
    expired.forEach(this::expireLease);
    watches.removeIf(watch -> nowMs >= watch.deadlineMs && respondIfDue(watch, nowMs));
  }

  private void respond(HttpServer.Exchange exchange, int status, byte[] body) {
    counters.stateBytesOut += body.length;
    long delayUs = (long) (1000 * limits.answerMs() * (0.5 + random.nextDouble()));
    loop.schedule(() -> exchange.respond(status, body, 0), delayUs, TimeUnit.MICROSECONDS);
  }
}
