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

/** A state service: conditional writes, leases, watches, and limits on rate and size. */
final class EmulatedStore {
  /** How many changes a watch may lie behind. */
  private static final int MOST_LOGGED = 10_000;

  private static final int MOST_ITEMS = 1000;
  private static final int MOST_PAGE_BYTES = 512 * 1024;
  private static final byte[] EMPTY = "{}".getBytes(StandardCharsets.UTF_8);

  private record Stored(String value, long version, long lease) {}

  private static final class Lease {
    final long lifeMs;
    final Set<String> keys = new HashSet<>();
    long endsMs;

    Lease(long lifeMs) {
      this.lifeMs = lifeMs;
    }
  }

  private record Watch(HttpServer.Exchange exchange, String prefix, long after, long endsMs) {}

  private final LoadTestSettings.State limits;
  private final EventLoop loop;
  private final UniformRandomProvider random;
  private final CellCounters counters;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final TreeMap<String, Stored> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Deque<RawItem> log = new ArrayDeque<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision = 1;
  private long lastLease;

  EmulatedStore(
      LoadTestSettings.State limits,
      EventLoop loop,
      UniformRandomProvider random,
      CellCounters counters) {
    this.limits = limits;
    this.loop = loop;
    this.random = random;
    this.counters = counters;
    requests = new TokenBucket(limits.rps(), limits.rps(), SteadyClock.nowMs());
    writes = new TokenBucket(limits.writeRps(), limits.writeRps(), SteadyClock.nowMs());
  }

  /** Stores a value as if it had been written before the run. */
  void preload(String key, String value) {
    keys.put(key, new Stored(value, ++revision, 0));
  }

  int keyCount() {
    return keys.size();
  }

  void handle(HttpServer.Exchange exchange) {
    counters.stateRequests++;
    counters.stateBytesIn += exchange.body.length;
    if (!requests.tryTake(1, SteadyClock.nowMs())) {
      counters.stateRefused++;
      answer(exchange, 429, EMPTY);
      return;
    }
    try {
      dispatch(exchange);
    } catch (MalformedMessageException | NumberFormatException e) {
      answer(exchange, 400, EMPTY);
    }
  }

  private void dispatch(HttpServer.Exchange exchange) throws MalformedMessageException {
    String path = exchange.path;
    if (path.startsWith("/keys/")) {
      get(exchange, path.substring("/keys/".length()));
    } else if (path.startsWith("/keys?")) {
      page(exchange, new QueryStringDecoder(path));
    } else if (path.equals("/multi")) {
      transact(exchange, StoreServerCodec.decodeTransaction(exchange.body));
    } else if (path.startsWith("/follow?")) {
      follow(exchange, new QueryStringDecoder(path));
    } else if (path.equals("/leases")) {
      grant(exchange, StoreServerCodec.decodeLeaseMs(exchange.body));
    } else if (path.startsWith("/leases/")) {
      lease(exchange, path.substring("/leases/".length()));
    } else {
      answer(exchange, 400, EMPTY);
    }
  }

  private void get(HttpServer.Exchange exchange, String key) {
    Stored stored = keys.get(key);
    if (stored == null) {
      answer(exchange, 404, StoreServerCodec.encodeRevision(revision));
    } else {
      RawItem item = new RawItem(key, stored.value, stored.version);
      answer(exchange, 200, StoreServerCodec.encodeItem(item));
    }
  }

  private static String parameter(QueryStringDecoder query, String name, String fallback) {
    List<String> values = query.parameters().get(name);
    return values == null ? fallback : values.get(0);
  }

  private void page(HttpServer.Exchange exchange, QueryStringDecoder query) {
    String prefix = parameter(query, "Starts", "");
    String after = parameter(query, "After", "");
    int most = Math.min(MOST_ITEMS, Integer.parseInt(parameter(query, "Page", "1000")));
    var range = after.isEmpty() ? keys.tailMap(prefix, true) : keys.tailMap(after, false);
    List<RawItem> items = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Stored> entry : range.entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      bytes += entry.getKey().length() + entry.getValue().value.length();
      if (items.size() == most || bytes > MOST_PAGE_BYTES && !items.isEmpty()) {
        more = true;
        break;
      }
      Stored stored = entry.getValue();
      items.add(new RawItem(entry.getKey(), stored.value, stored.version));
    }
    answer(exchange, 200, StoreServerCodec.encodePage(items, more, revision));
  }

  private void transact(HttpServer.Exchange exchange, RawTransaction transaction) {
    int changes = transaction.changes().size();
    counters.stateWrites += changes;
    if (!writes.tryTake(changes, SteadyClock.nowMs())) {
      counters.stateRefused++;
      answer(exchange, 429, EMPTY);
      return;
    }
    if (!isWithinLimits(transaction)) {
      answer(exchange, 400, EMPTY);
      return;
    }
    List<String> failed = new ArrayList<>();
    for (StoreRequest.Condition condition : transaction.conditions()) {
      Stored stored = keys.get(condition.key());
      if ((stored == null ? 0 : stored.version) != condition.version()) {
        failed.add(condition.key());
      }
    }
    if (!failed.isEmpty()) {
      counters.stateConflicts++;
      answer(exchange, 409, StoreServerCodec.encodeConflict(failed, revision));
      return;
    }
    if (changes > 0) {
      revision++;
      transaction.changes().forEach(this::apply);
      serveWatches(transaction.changes().stream().map(RawChange::key).toList());
    }
    answer(exchange, 200, StoreServerCodec.encodeRevision(revision));
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
    Stored before = keys.get(change.key());
    if (before != null && before.lease != 0 && leases.containsKey(before.lease)) {
      leases.get(before.lease).keys.remove(change.key());
    }
    if (change.value() == null) {
      keys.remove(change.key());
    } else {
      keys.put(change.key(), new Stored(change.value(), revision, change.lease()));
      if (change.lease() != 0) {
        leases.get(change.lease()).keys.add(change.key());
      }
    }
    log.addLast(new RawItem(change.key(), change.value(), revision));
    if (log.size() > MOST_LOGGED) {
      log.removeFirst();
    }
  }

  private void follow(HttpServer.Exchange exchange, QueryStringDecoder query) {
    long after = Long.parseLong(parameter(query, "After", "0"));
    long blockMs = Long.parseLong(parameter(query, "BlockMs", "0"));
    String prefix = parameter(query, "Starts", "");
    if (log.size() == MOST_LOGGED && log.peekFirst().version() > after + 1) {
      answer(exchange, 410, EMPTY);
      return;
    }
    Watch watch = new Watch(exchange, prefix, after, SteadyClock.nowMs() + blockMs);
    if (!serve(watch, SteadyClock.nowMs())) {
      watches.add(watch);
    }
  }

  /** Answers a watch that has something to tell or whose time is over; whether it did. */
  private boolean serve(Watch watch, long nowMs) {
    List<RawItem> changes = new ArrayList<>();
    for (Iterator<RawItem> it = log.descendingIterator(); it.hasNext(); ) {
      RawItem item = it.next();
      if (item.version() <= watch.after) {
        break;
      }
      if (item.key().startsWith(watch.prefix)) {
        changes.add(0, item);
      }
    }
    if (changes.isEmpty() && nowMs < watch.endsMs) {
      return false;
    }
    answer(watch.exchange, 200, StoreServerCodec.encodeWatchLog(changes, revision));
    return true;
  }

  private void serveWatches(List<String> changed) {
    long nowMs = SteadyClock.nowMs();
    watches.removeIf(
        watch ->
            changed.stream().anyMatch(key -> key.startsWith(watch.prefix)) && serve(watch, nowMs));
  }

  private void grant(HttpServer.Exchange exchange, long lifeMs) {
    Lease lease = new Lease(lifeMs);
    lease.endsMs = SteadyClock.nowMs() + lifeMs;
    leases.put(++lastLease, lease);
    answer(exchange, 200, StoreServerCodec.encodeLease(lastLease));
  }

  private void lease(HttpServer.Exchange exchange, String rest) {
    boolean renews = rest.endsWith("/renew");
    long id = Long.parseLong(renews ? rest.substring(0, rest.indexOf('/')) : rest);
    Lease lease = leases.get(id);
    if (lease == null) {
      answer(exchange, 404, EMPTY);
    } else if (renews) {
      lease.endsMs = SteadyClock.nowMs() + lease.lifeMs;
      answer(exchange, 200, StoreServerCodec.encodeLease(id));
    } else {
      end(id);
      answer(exchange, 200, EMPTY);
    }
  }

  private void end(long id) {
    Lease lease = leases.remove(id);
    if (!lease.keys.isEmpty()) {
      revision++;
      List<String> removed = List.copyOf(lease.keys);
      removed.forEach(key -> apply(new RawChange(key, null, 0)));
      serveWatches(removed);
    }
  }

  /** Ends leases and watches whose time is over. */
  void tick() {
    long nowMs = SteadyClock.nowMs();
    List<Long> over = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (nowMs > lease.endsMs) {
            over.add(id);
          }
        });
    over.forEach(this::end);
    watches.removeIf(watch -> nowMs >= watch.endsMs && serve(watch, nowMs));
  }

  private void answer(HttpServer.Exchange exchange, int status, byte[] body) {
    counters.stateBytesOut += body.length;
    long delayUs = (long) (1000 * limits.answerMs() * (0.5 + random.nextDouble()));
    loop.schedule(() -> exchange.respond(status, body, 0), delayUs, TimeUnit.MICROSECONDS);
  }
}
