package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.model.StoredRecord;
import eiderfork.wire.StoreCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The store, written from the protocol. */
final class FakeStore {
  /** The service's limit on requests, with bursts of a second's worth; null for none. */
  TokenBucket requestLimit;

  /** How many requests were refused for that limit. */
  int requestLimitRefusals;

  /** The largest value that the service takes, as its text in JSON. */
  int maxValueBytes = Integer.MAX_VALUE;

  /** The service's limit on changes, with bursts of a second's worth; null for none. */
  TokenBucket changeLimit;

  /** Transactions that were refused since a value was too large. */
  int oversizedValueRefusals;

  /** Transactions that were refused for the limit on changes. */
  int changeLimitRefusals;

  private record Entry(StoredRecord record, long version, long lease) {}

  private record Watcher(String prefix, long after, long untilMs, Consumer<Reply> then) {}

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<Long, long[]> leases = new HashMap<>();
  private final List<Reply.Item> log = new ArrayList<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private long ledger;
  private long lastLease;
  private long outageSinceMs = -1;

  /** Transactions that changed something; a test may look at what was written. */
  int committedTransactions;

  void startOutage(long nowMs) {
    outageSinceMs = nowMs;
  }

  void endOutage(long nowMs) {
    outageSinceMs = -1;
    leases.values().forEach(lease -> lease[1] = nowMs + lease[0]);
  }

  boolean isDown() {
    return outageSinceMs >= 0;
  }

  StoredRecord get(String key) {
    StoredRecord stored = getAsStored(key);
    if (stored instanceof StoredRecord.BitmapAllocation bitmap) {
      return bitmap.alloc();
    }
    return stored instanceof StoredRecord.PackedAllocation packed ? packed.alloc() : stored;
  }

  /** What was written, in the form that it was written in. */
  StoredRecord getAsStored(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.record;
  }

  /** From now on the service holds to these limits; what is stored stays readable. */
  void lowerLimits(double valueKb, double changesPerS, long nowMs) {
    maxValueBytes = (int) (valueKb * 1024);
    changeLimit = new TokenBucket(changesPerS, changesPerS, nowMs);
  }

  private static int valueBytes(StoreRequest.Change change) {
    if (change.record() == null) {
      return 0;
    }
    int with = bytes(StoreRequest.Change.put(change.key(), change.record()));
    return with - bytes(StoreRequest.Change.remove(change.key()));
  }

  private static int bytes(StoreRequest.Change change) {
    StoreRequest request =
        new StoreRequest.Transaction(ImmutableList.of(), ImmutableList.of(change));
    return StoreCodec.encodeRequest(request).body().length;
  }

  /** The keys under a prefix. */
  List<String> keys(String prefix) {
    return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  /** Puts a value there that no version can read. */
  void corrupt(String key) {
    entries.put(key, new Entry(new StoredRecord.Unreadable("spoiled"), ++ledger, 0));
  }

  void tick(long nowMs) {
    if (isDown()) {
      return;
    }
    List<Watcher> over = new ArrayList<>();
    watchers.removeIf(w -> w.untilMs <= nowMs && over.add(w));
    over.forEach(w -> w.then.accept(since(w.prefix, w.after)));
    leases
        .entrySet()
        .removeIf(
            e -> {
              if (e.getValue()[1] > nowMs) {
                return false;
              }
              drop(e.getKey());
              return true;
            });
  }

  private void drop(long lease) {
    List<String> keys = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.lease == lease) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      ledger++;
      keys.forEach(key -> change(key, null, 0));
      wake();
    }
  }

  private void change(String key, StoredRecord record, long lease) {
    if (record == null) {
      entries.remove(key);
    } else {
      entries.put(key, new Entry(record, ledger, lease));
    }
    log.add(new Reply.Item(key, record, ledger));
  }

  private Reply.Changes since(String prefix, long after) {
    ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
    log.stream()
        .filter(item -> item.version() > after && item.key().startsWith(prefix))
        .forEach(items::add);
    return new Reply.Changes(items.build(), ledger);
  }

  private void wake() {
    List<Watcher> due = new ArrayList<>();
    watchers.removeIf(w -> !since(w.prefix, w.after).items().isEmpty() && due.add(w));
    due.forEach(w -> w.then.accept(since(w.prefix, w.after)));
  }

  void execute(StoreRequest request, long nowMs, Consumer<Reply> onComplete) {
    if (requestLimit != null && !requestLimit.tryTake(1, nowMs)) {
      requestLimitRefusals++;
      onComplete.accept(new Reply.Refused(429));
      return;
    }
    if (isDown()) {
      if (request instanceof StoreRequest.Watch w) {
        watchers.add(new Watcher(w.prefix(), w.afterRevision(), nowMs + w.timeoutMs(), onComplete));
      } else {
        onComplete.accept(new Reply.Refused(503));
      }
      return;
    }
    if (request instanceof StoreRequest.Get it) {
      Entry entry = entries.get(it.key());
      onComplete.accept(
          entry == null ? new Reply.Value(null, 0) : new Reply.Value(entry.record, entry.version));
    } else if (request instanceof StoreRequest.Scan it) {
      onComplete.accept(page(it));
    } else if (request instanceof StoreRequest.Watch it) {
      if (it.timeoutMs() > 0 && since(it.prefix(), it.afterRevision()).items().isEmpty()) {
        watchers.add(
            new Watcher(it.prefix(), it.afterRevision(), nowMs + it.timeoutMs(), onComplete));
      } else {
        onComplete.accept(since(it.prefix(), it.afterRevision()));
      }
    } else if (request instanceof StoreRequest.Grant it) {
      leases.put(++lastLease, new long[] {it.ttlMs(), nowMs + it.ttlMs()});
      onComplete.accept(new Reply.Leased(lastLease));
    } else if (request instanceof StoreRequest.Renew it) {
      long[] lease = leases.get(it.leaseId());
      if (lease == null) {
        onComplete.accept(new Reply.Refused(404));
      } else {
        lease[1] = nowMs + lease[0];
        onComplete.accept(new Reply.Leased(it.leaseId()));
      }
    } else if (request instanceof StoreRequest.Release it) {
      if (leases.remove(it.leaseId()) != null) {
        drop(it.leaseId());
      }
      onComplete.accept(new Reply.Leased(0));
    } else if (request instanceof StoreRequest.Transaction it) {
      if (it.changes().stream().anyMatch(change -> valueBytes(change) > maxValueBytes)) {
        oversizedValueRefusals++;
        onComplete.accept(new Reply.Refused(400));
      } else if (changeLimit != null && !changeLimit.tryTake(it.changes().size(), nowMs)) {
        changeLimitRefusals++;
        onComplete.accept(new Reply.Refused(429));
      } else {
        onComplete.accept(transact(it));
        wake();
      }
    }
  }

  private Reply page(StoreRequest.Scan scan) {
    ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
    int count = 0;
    boolean more = false;
    for (var e : entries.tailMap(scan.prefix(), true).entrySet()) {
      if (!e.getKey().startsWith(scan.prefix())) {
        break;
      }
      if (e.getKey().compareTo(scan.afterKey()) > 0) {
        // Small pages, so that paging is walked through.
        if (count++ == 7) {
          more = true;
          break;
        }
        items.add(new Reply.Item(e.getKey(), e.getValue().record, e.getValue().version));
      }
    }
    return new Reply.Page(items.build(), more, ledger);
  }

  private Reply transact(StoreRequest.Transaction it) {
    ImmutableList.Builder<String> failed = ImmutableList.builder();
    for (StoreRequest.Condition condition : it.conditions()) {
      Entry entry = entries.get(condition.key());
      if ((entry == null ? 0 : entry.version) != condition.version()) {
        failed.add(condition.key());
      }
    }
    if (!failed.build().isEmpty()) {
      return new Reply.Conflict(failed.build());
    }
    for (StoreRequest.Change change : it.changes()) {
      if (change.leaseId() != 0 && !leases.containsKey(change.leaseId())) {
        return new Reply.Refused(400);
      }
    }
    ledger++;
    committedTransactions++;
    it.changes().forEach(change -> change(change.key(), change.record(), change.leaseId()));
    return new Reply.Committed(ledger);
  }
}
