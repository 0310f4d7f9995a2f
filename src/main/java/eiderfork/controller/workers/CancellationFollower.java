package eiderfork.controller.workers;

import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;

/** Reads all cancellations from the store and follows their changes, on a node that proxies. */
final class CancellationFollower {
  /** How long a watch waits for changes, in steps. */
  private static final int WATCH_STEPS = 2;

  /** The revision before the first page is read. */
  private static final long NO_REVISION = -1;

  private final ControllerContext context;
  private final StoreClient store;
  private final CancellationTracker cancellations;
  private final List<Runnable> retries = new ArrayList<>();

  /** Counts starts and stops, so that replies to requests from before them are ignored. */
  private long generation;

  CancellationFollower(
      ControllerContext context, StoreClient store, CancellationTracker cancellations) {
    this.context = context;
    this.store = store;
    this.cancellations = cancellations;
  }

  /** Reads all cancellations, and then follows their changes. */
  void start() {
    generation++;
    readAll(generation);
  }

  /** Ignores replies to all open requests. */
  void stop() {
    generation++;
  }

  /** Sends requests again that failed since this was last called. */
  void retryFailed() {
    List<Runnable> due = List.copyOf(retries);
    retries.clear();
    due.forEach(Runnable::run);
  }

  private void readAll(long ofGeneration) {
    readPage(ofGeneration, "", context.nowMs(), NO_REVISION);
  }

  /**
   * Reads the page behind a key.
   *
   * @param firstRequestMs when the first page was requested
   * @param firstRevision the first page's revision, from which changes are followed
   */
  private void readPage(
      long ofGeneration, String afterKey, long firstRequestMs, long firstRevision) {
    store.send(
        new StoreRequest.Scan(StoreKeys.CANCELLATION_PREFIX, afterKey),
        RequestPriority.LEASE,
        reply -> {
          if (ofGeneration != generation) {
            return;
          }
          if (!(reply instanceof Reply.Page page)) {
            retryLater(
                ofGeneration,
                () -> readPage(ofGeneration, afterKey, firstRequestMs, firstRevision));
            return;
          }
          String lastKey = afterKey;
          for (Reply.Item item : page.items()) {
            apply(item);
            lastKey = item.key();
          }
          long revision = firstRevision == NO_REVISION ? page.revision() : firstRevision;
          if (page.hasMore()) {
            readPage(ofGeneration, lastKey, firstRequestMs, revision);
          } else {
            cancellations.recordCaughtUp(firstRequestMs);
            follow(ofGeneration, revision);
          }
        });
  }

  private void follow(long ofGeneration, long revision) {
    long requestedMs = context.nowMs();
    store.send(
        new StoreRequest.Watch(
            StoreKeys.CANCELLATION_PREFIX, revision, WATCH_STEPS * context.stepMs()),
        RequestPriority.LEASE,
        reply -> {
          if (ofGeneration != generation) {
            return;
          }
          if (reply instanceof Reply.Changes changes) {
            changes.items().forEach(this::apply);
            cancellations.recordCaughtUp(requestedMs);
            follow(ofGeneration, changes.revision());
          } else if (StoreClient.requiresFullRead(reply)) {
            readAll(ofGeneration);
          } else {
            retryLater(ofGeneration, () -> follow(ofGeneration, revision));
          }
        });
  }

  private void apply(Reply.Item item) {
    if (item.record() == null) {
      cancellations.jobArchived(StoreKeys.withoutPrefix(item.key()));
    } else if (item.record() instanceof StoredRecord.Cancellation cancellation) {
      cancellations.recordStored(cancellation.uid());
    }
  }

  private void retryLater(long ofGeneration, Runnable request) {
    retries.add(
        () -> {
          if (ofGeneration == generation) {
            request.run();
          }
        });
  }
}
