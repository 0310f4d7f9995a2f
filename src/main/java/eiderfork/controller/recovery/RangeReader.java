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

/** Reads whole ranges of keys for a leader. A failed read is retried at the next tick. */
public final class RangeReader {
  private final StoreClient store;
  private final LeaderElection election;
  private final List<Runnable> deferredActions = new ArrayList<>();

  /** Creates a reader that reads while this node leads. */
  public RangeReader(StoreClient store, LeaderElection election) {
    this.store = store;
    this.election = election;
  }

  /** Retries the failed reads and runs the actions that were deferred to this tick. */
  public void tick() {
    List<Runnable> due = List.copyOf(deferredActions);
    deferredActions.clear();
    due.forEach(Runnable::run);
  }

  /** Discards the reads and actions that are deferred to the next tick. */
  public void cancelPending() {
    deferredActions.clear();
  }

  /** Defers an action to the next tick. */
  public void runAtNextTick(Runnable action) {
    deferredActions.add(action);
  }

  /** Returns whether this node still leads in the given term. */
  public boolean isLeadingTerm(long leadingTerm) {
    return election.isLeading() && election.currentTerm() == leadingTerm;
  }

  /**
   * Reads all keys under a prefix page by page. Failed reads are retried as long as this node
   * leads.
   *
   * @param consumer takes each item
   * @param onComplete takes the revision of the first page once all pages are read
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
            String lastKey = page.items().get(page.items().size() - 1).key();
            scan(
                prefix,
                lastKey,
                leadingTerm,
                consumer,
                revision -> onComplete.accept(page.revision()));
          } else {
            onComplete.accept(page.revision());
          }
        });
  }

  /**
   * Reads one page of the keys under a prefix. A failed read is retried as long as this node leads.
   */
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
   * @param onComplete takes the names, or null if a record cannot be read
   */
  public void readProxiedMachines(Consumer<Set<String>> onComplete) {
    Set<String> names = new HashSet<>();
    boolean[] allReadable = {true};
    scan(
        StoreKeys.LEASE_PROXY_PREFIX,
        "",
        election.currentTerm(),
        item -> {
          if (item.record() instanceof StoredRecord.ProxiedLeases proxiedLeases) {
            names.addAll(proxiedLeases.machines());
          } else {
            allReadable[0] = false;
          }
        },
        revision -> onComplete.accept(allReadable[0] ? names : null));
  }
}
