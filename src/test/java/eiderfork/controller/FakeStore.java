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

/** An in-memory store that implements the store's protocol. */
final class FakeStore {
  /** The rate limit on requests, with bursts of one second's worth; null for none. */
  TokenBucket requestLimit;

  /** The number of requests refused by the rate limit on requests. */
  int requestLimitRefusals;

  /** The largest accepted value, in bytes of its JSON text. */
  int maxValueBytes = Integer.MAX_VALUE;

  /** The rate limit on changes, with bursts of one second's worth; null for none. */
  TokenBucket changeLimit;

  /** The number of transactions refused because a value was too large. */
  int oversizedValueRefusals;

  /** The number of transactions refused by the rate limit on changes. */
  int changeLimitRefusals;

  private record Entry(StoredRecord record, long version, long leaseId) {}

  private record Watcher(
      String prefix, long afterRevision, long expiresMs, Consumer<Reply> onComplete) {}

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<Long, long[]> leases = new HashMap<>();
  private final List<Reply.Item> changeLog = new ArrayList<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private long revision;
  private long lastLeaseId;
  private long outageSinceMs = -1;

  /** The number of transactions that were committed. */
  int committedTransactions;

  /** Starts an outage: requests are refused, watches and leases wait. */
  void startOutage(long nowMs) {
    outageSinceMs = nowMs;
  }

  /** Ends an outage and extends every lease by its full time. */
  void endOutage(long nowMs) {
    outageSinceMs = -1;
    leases.values().forEach(lease -> lease[1] = nowMs + lease[0]);
  }

  boolean isDown() {
    return outageSinceMs >= 0;
  }

  /** Returns the record under a key, decoded to a plain allocation if it is one, or null. */
  StoredRecord get(String key) {
    StoredRecord stored = getAsStored(key);
    if (stored instanceof StoredRecord.BitmapAllocation bitmap) {
      return bitmap.alloc();
    }
    return stored instanceof StoredRecord.PackedAllocation packed ? packed.alloc() : stored;
  }

  /** Returns the record under a key in the form in which it was written, or null. */
  StoredRecord getAsStored(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.record;
  }

  /** Applies these limits to later transactions; records already stored stay readable. */
  void lowerLimits(double valueKb, double changesPerS, long nowMs) {
    maxValueBytes = (int) (valueKb * 1024);
    changeLimit = new TokenBucket(changesPerS, changesPerS, nowMs);
  }

  private static int valueBytes(StoreRequest.Change change) {
    if (change.record() == null) {
      return 0;
    }
    int putBytes = encodedBytes(StoreRequest.Change.put(change.key(), change.record()));
    return putBytes - encodedBytes(StoreRequest.Change.remove(change.key()));
  }

  private static int encodedBytes(StoreRequest.Change change) {
    StoreRequest request =
        new StoreRequest.Transaction(ImmutableList.of(), ImmutableList.of(change));
    return StoreCodec.encodeRequest(request).body().length;
  }

  /** Returns the keys with a prefix. */
  List<String> keys(String prefix) {
    return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  /** Replaces a value by one that no version can read. */
  void corrupt(String key) {
    entries.put(key, new Entry(new StoredRecord.Unreadable("spoiled"), ++revision, 0));
  }

  void tick(long nowMs) {
    if (isDown()) {
      return;
    }
    List<Watcher> expired = new ArrayList<>();
    watchers.removeIf(watcher -> watcher.expiresMs <= nowMs && expired.add(watcher));
    expired.forEach(
        watcher -> watcher.onComplete.accept(changesSince(watcher.prefix, watcher.afterRevision)));
    leases
        .entrySet()
        .removeIf(
            e -> {
              if (e.getValue()[1] > nowMs) {
                return false;
              }
              deleteKeysOfLease(e.getKey());
              return true;
            });
  }

  private void deleteKeysOfLease(long leaseId) {
    List<String> keys = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.leaseId == leaseId) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(key -> apply(key, null, 0));
      notifyWatchers();
    }
  }

  private void apply(String key, StoredRecord record, long leaseId) {
    if (record == null) {
      entries.remove(key);
    } else {
      entries.put(key, new Entry(record, revision, leaseId));
    }
    changeLog.add(new Reply.Item(key, record, revision));
  }

  private Reply.Changes changesSince(String prefix, long afterRevision) {
    ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
    changeLog.stream()
        .filter(item -> item.version() > afterRevision && item.key().startsWith(prefix))
        .forEach(items::add);
    return new Reply.Changes(items.build(), revision);
  }

  private void notifyWatchers() {
    List<Watcher> due = new ArrayList<>();
    watchers.removeIf(
        watcher ->
            !changesSince(watcher.prefix, watcher.afterRevision).items().isEmpty()
                && due.add(watcher));
    due.forEach(
        watcher -> watcher.onComplete.accept(changesSince(watcher.prefix, watcher.afterRevision)));
  }

  void execute(StoreRequest request, long nowMs, Consumer<Reply> onComplete) {
    if (requestLimit != null && !requestLimit.tryTake(1, nowMs)) {
      requestLimitRefusals++;
      onComplete.accept(new Reply.Refused(429));
      return;
    }
    if (isDown()) {
      if (request instanceof StoreRequest.Watch watch) {
        watchers.add(
            new Watcher(
                watch.prefix(), watch.afterRevision(), nowMs + watch.timeoutMs(), onComplete));
      } else {
        onComplete.accept(new Reply.Refused(503));
      }
      return;
    }
    if (request instanceof StoreRequest.Get get) {
      Entry entry = entries.get(get.key());
      onComplete.accept(
          entry == null ? new Reply.Value(null, 0) : new Reply.Value(entry.record, entry.version));
    } else if (request instanceof StoreRequest.Scan scan) {
      onComplete.accept(scanPage(scan));
    } else if (request instanceof StoreRequest.Watch watch) {
      if (watch.timeoutMs() > 0
          && changesSince(watch.prefix(), watch.afterRevision()).items().isEmpty()) {
        watchers.add(
            new Watcher(
                watch.prefix(), watch.afterRevision(), nowMs + watch.timeoutMs(), onComplete));
      } else {
        onComplete.accept(changesSince(watch.prefix(), watch.afterRevision()));
      }
    } else if (request instanceof StoreRequest.GrantLease grant) {
      leases.put(++lastLeaseId, new long[] {grant.ttlMs(), nowMs + grant.ttlMs()});
      onComplete.accept(new Reply.Leased(lastLeaseId));
    } else if (request instanceof StoreRequest.RenewLease renewal) {
      long[] lease = leases.get(renewal.leaseId());
      if (lease == null) {
        onComplete.accept(new Reply.Refused(404));
      } else {
        lease[1] = nowMs + lease[0];
        onComplete.accept(new Reply.Leased(renewal.leaseId()));
      }
    } else if (request instanceof StoreRequest.RevokeLease release) {
      if (leases.remove(release.leaseId()) != null) {
        deleteKeysOfLease(release.leaseId());
      }
      onComplete.accept(new Reply.Leased(0));
    } else if (request instanceof StoreRequest.Transaction transaction) {
      if (transaction.changes().stream().anyMatch(change -> valueBytes(change) > maxValueBytes)) {
        oversizedValueRefusals++;
        onComplete.accept(new Reply.Refused(400));
      } else if (changeLimit != null && !changeLimit.tryTake(transaction.changes().size(), nowMs)) {
        changeLimitRefusals++;
        onComplete.accept(new Reply.Refused(429));
      } else {
        onComplete.accept(commit(transaction));
        notifyWatchers();
      }
    }
  }

  private Reply scanPage(StoreRequest.Scan scan) {
    ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
    int count = 0;
    boolean more = false;
    for (var e : entries.tailMap(scan.prefix(), true).entrySet()) {
      if (!e.getKey().startsWith(scan.prefix())) {
        break;
      }
      if (e.getKey().compareTo(scan.afterKey()) > 0) {
        // A page limit of 7 makes the controllers read several pages.
        if (count++ == 7) {
          more = true;
          break;
        }
        items.add(new Reply.Item(e.getKey(), e.getValue().record, e.getValue().version));
      }
    }
    return new Reply.Page(items.build(), more, revision);
  }

  private Reply commit(StoreRequest.Transaction transaction) {
    ImmutableList.Builder<String> failed = ImmutableList.builder();
    for (StoreRequest.Condition condition : transaction.conditions()) {
      Entry entry = entries.get(condition.key());
      if ((entry == null ? 0 : entry.version) != condition.version()) {
        failed.add(condition.key());
      }
    }
    if (!failed.build().isEmpty()) {
      return new Reply.Conflict(failed.build());
    }
    for (StoreRequest.Change change : transaction.changes()) {
      if (change.leaseId() != 0 && !leases.containsKey(change.leaseId())) {
        return new Reply.Refused(400);
      }
    }
    revision++;
    committedTransactions++;
    transaction.changes().forEach(change -> apply(change.key(), change.record(), change.leaseId()));
    return new Reply.Committed(revision);
  }
}
