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

/**
 * Keeps a lease proxy's list of cancelled jobs current: reads all cancellations from the store,
 * then watches them for changes.
 */
final class CancellationWatcher {
  /** The time a watch request waits for changes, in steps. */
  private static final int WATCH_WAIT_STEPS = 2;

  /** Stands for the revision of the first page until that page is read. */
  private static final long NO_REVISION = -1;

  private final ControllerContext context;
  private final StoreClient store;
  private final CancellationTracker cancellations;
  private final List<Runnable> failedRequests = new ArrayList<>();

  /** The number of starts and stops. A reply to a request of an earlier generation is ignored. */
  private long generation;

  CancellationWatcher(
      ControllerContext context, StoreClient store, CancellationTracker cancellations) {
    this.context = context;
    this.store = store;
    this.cancellations = cancellations;
  }

  /** Reads all cancellations, then watches for changes. */
  void start() {
    generation++;
    readAll(generation);
  }

  /** Stops reading and watching; replies to requests in flight are ignored. */
  void stop() {
    generation++;
  }

  /** Retries the requests that have failed since the last call. */
  void retryFailed() {
    List<Runnable> due = List.copyOf(failedRequests);
    failedRequests.clear();
    due.forEach(Runnable::run);
  }

  private void readAll(long requestGeneration) {
    readPage(requestGeneration, "", context.nowMs(), NO_REVISION);
  }

  /**
   * Reads the page of cancellations that follows a key.
   *
   * @param firstRequestMs the time at which the first page was requested
   * @param firstRevision the revision of the first page, from which changes are watched
   */
  private void readPage(
      long requestGeneration, String afterKey, long firstRequestMs, long firstRevision) {
    store.send(
        new StoreRequest.Scan(StoreKeys.CANCELLATION_PREFIX, afterKey),
        RequestPriority.LEASE,
        reply -> {
          if (requestGeneration != generation) {
            return;
          }
          if (!(reply instanceof Reply.Page page)) {
            retryLater(
                requestGeneration,
                () -> readPage(requestGeneration, afterKey, firstRequestMs, firstRevision));
            return;
          }
          String lastKey = afterKey;
          for (Reply.Item item : page.items()) {
            apply(item);
            lastKey = item.key();
          }
          long revision = firstRevision == NO_REVISION ? page.revision() : firstRevision;
          if (page.hasMore()) {
            readPage(requestGeneration, lastKey, firstRequestMs, revision);
          } else {
            cancellations.recordCaughtUp(firstRequestMs);
            watch(requestGeneration, revision);
          }
        });
  }

  private void watch(long requestGeneration, long revision) {
    long requestedMs = context.nowMs();
    store.send(
        new StoreRequest.Watch(
            StoreKeys.CANCELLATION_PREFIX, revision, WATCH_WAIT_STEPS * context.stepMs()),
        RequestPriority.LEASE,
        reply -> {
          if (requestGeneration != generation) {
            return;
          }
          if (reply instanceof Reply.Changes changes) {
            changes.items().forEach(this::apply);
            cancellations.recordCaughtUp(requestedMs);
            watch(requestGeneration, changes.revision());
          } else if (StoreClient.requiresFullRead(reply)) {
            readAll(requestGeneration);
          } else {
            retryLater(requestGeneration, () -> watch(requestGeneration, revision));
          }
        });
  }

  private void apply(Reply.Item item) {
    if (item.record() == null) {
      cancellations.recordArchived(StoreKeys.withoutPrefix(item.key()));
    } else if (item.record() instanceof StoredRecord.Cancellation cancellation) {
      cancellations.recordStored(cancellation.uid());
    }
  }

  private void retryLater(long requestGeneration, Runnable request) {
    failedRequests.add(
        () -> {
          if (requestGeneration == generation) {
            request.run();
          }
        });
  }
}
