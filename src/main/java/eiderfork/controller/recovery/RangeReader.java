package eiderfork.controller.recovery;

import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** A leader's reads of whole ranges of keys. One that fails is retried at the next tick. */
public final class RangeReader {
  private final StoreClient store;
  private final LeaderElection election;
  private final List<Runnable> deferred = new ArrayList<>();

  /** Makes a reader that reads while this node leads. */
  public RangeReader(StoreClient store, LeaderElection election) {
    this.store = store;
    this.election = election;
  }

  /** Retries what has failed, and runs what was left for this tick. */
  public void tick() {
    List<Runnable> due = List.copyOf(deferred);
    deferred.clear();
    due.forEach(Runnable::run);
  }

  /** Drops what was left for the next tick. */
  public void cancelPending() {
    deferred.clear();
  }

  /** Has an action run at the next tick. */
  public void runAtNextTick(Runnable action) {
    deferred.add(action);
  }

  /** Whether this node still leads this term. */
  public boolean isLeadingTerm(long leadingTerm) {
    return election.isLeading() && election.currentTerm() == leadingTerm;
  }

  /**
   * Reads all keys under a prefix, page by page, as often as it takes while this node leads.
   *
   * @param consumer takes each of them
   * @param onComplete takes the revision of the first page once all were read
   */
  public void scan(
      String prefix,
      String afterKey,
      long leadingTerm,
      Consumer<Reply.Item> consumer,
      LongConsumer onComplete) {
    readPage(
        prefix,
        afterKey,
        leadingTerm,
        RequestPriority.START,
        page -> {
          page.items().forEach(consumer);
          if (page.hasMore()) {
            String last = page.items().get(page.items().size() - 1).key();
            scan(
                prefix,
                last,
                leadingTerm,
                consumer,
                revision -> onComplete.accept(page.revision()));
          } else {
            onComplete.accept(page.revision());
          }
        });
  }

  /** Reads one page of the keys under a prefix, as often as it takes while this node leads. */
  public void readPage(
      String prefix,
      String afterKey,
      long leadingTerm,
      RequestPriority priority,
      Consumer<Reply.Page> consumer) {
    store.send(
        new StoreRequest.Scan(prefix, afterKey),
        priority,
        reply -> {
          if (!isLeadingTerm(leadingTerm)) {
            return;
          }
          if (reply instanceof Reply.Page page) {
            consumer.accept(page);
          } else {
            runAtNextTick(() -> readPage(prefix, afterKey, leadingTerm, priority, consumer));
          }
        });
  }

  /**
   * Reads the names of the machines whose leases other nodes renew as proxies.
   *
   * @param onComplete takes the names, or null where a record can't be read
   */
  public void readProxiedMachines(Consumer<Set<String>> onComplete) {
    Set<String> names = new HashSet<>();
    boolean[] readable = {true};
    scan(
        StoreKeys.LEASE_PROXY_PREFIX,
        "",
        election.currentTerm(),
        item -> {
          if (item.record() instanceof StoredRecord.ProxiedLeases proxiedLeases) {
            names.addAll(proxiedLeases.machines());
          } else {
            readable[0] = false;
          }
        },
        revision -> onComplete.accept(readable[0] ? names : null));
  }
}
