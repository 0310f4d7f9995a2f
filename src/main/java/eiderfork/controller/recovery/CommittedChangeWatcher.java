package eiderfork.controller.recovery;

import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.ReadBarrier;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;

/**
 * Watches the store for submissions and cancellations that other nodes commit while this node
 * leads.
 */
public final class CommittedChangeWatcher {
  /**
   * The time a watch request waits for changes, in steps. It is short so that a lost reply is
   * replaced soon.
   */
  private static final int WATCH_WAIT_STEPS = 2;

  private final ControllerContext context;
  private final StoreClient store;
  private final RangeReader reader;
  private final ReadBarrier readBarrier;
  private final CancellationTracker cancellations;
  private final CommittedChangeApplier applier;

  /** Creates a watcher, which is inactive until {@link #watchFrom} is called. */
  public CommittedChangeWatcher(
      ControllerContext context,
      StoreClient store,
      RangeReader reader,
      ReadBarrier readBarrier,
      CancellationTracker cancellations,
      CommittedChangeApplier applier) {
    this.context = context;
    this.store = store;
    this.reader = reader;
    this.readBarrier = readBarrier;
    this.cancellations = cancellations;
    this.applier = applier;
  }

  /** Watches all changes after a revision, as long as this node leads in the given term. */
  void watchFrom(long revision, long leadingTerm) {
    watch(StoreKeys.JOB_PREFIX, leadingTerm, revision);
    watch(StoreKeys.CANCELLATION_PREFIX, leadingTerm, revision);
  }

  private void watch(String prefix, long leadingTerm, long revision) {
    long requestedMs = context.nowMs();
    store.send(
        new StoreRequest.Watch(prefix, revision, WATCH_WAIT_STEPS * context.stepMs()),
        RequestPriority.SUBMIT,
        reply -> {
          if (!reader.isLeadingTerm(leadingTerm)) {
            return;
          }
          if (reply instanceof Reply.Changes changes) {
            apply(prefix, changes, requestedMs);
            watch(prefix, leadingTerm, changes.revision());
          } else if (StoreClient.requiresFullRead(reply)) {
            readAgain(prefix, leadingTerm);
          } else {
            reader.runAtNextTick(() -> watch(prefix, leadingTerm, revision));
          }
        });
  }

  private void apply(String prefix, Reply.Changes changes, long requestedMs) {
    changes.items().forEach(applier::apply);
    if (prefix.equals(StoreKeys.CANCELLATION_PREFIX)) {
      cancellations.recordCaughtUp(requestedMs);
      // The store compacts old changes, so the read barrier must not request changes before this
      // revision.
      readBarrier.advanceTo(changes.revision());
    }
  }

  private void readAgain(String prefix, long leadingTerm) {
    reader.scan(
        prefix, "", leadingTerm, applier::apply, revision -> watch(prefix, leadingTerm, revision));
  }
}
