package eiderfork.controller.store;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Updates a leader's memory with all cancellations that were committed before a query was received,
 * so that the response to the query is linearizable. A peer that could not reach the leader may
 * have committed and confirmed a cancellation that the leader's watch delivers only later; a
 * response from memory in the meantime would contradict the confirmation. One store request serves
 * all waiting queries.
 */
public final class ReadBarrier {
  private final ControllerContext context;
  private final StoreClient store;
  private final Consumer<Reply.Item> cancellationConsumer;
  private final LongConsumer onCaughtUp;
  private List<Consumer<Boolean>> waiters = new ArrayList<>();
  private boolean readPending;
  private long revision;
  private long generation;

  /**
   * @param cancellationConsumer accepts each changed cancellation
   * @param onCaughtUp accepts a time; all cancellations committed before it have been passed on
   */
  public ReadBarrier(
      ControllerContext context,
      StoreClient store,
      Consumer<Reply.Item> cancellationConsumer,
      LongConsumer onCaughtUp) {
    this.context = context;
    this.store = store;
    this.cancellationConsumer = cancellationConsumer;
    this.onCaughtUp = onCaughtUp;
  }

  /** Records that memory contains the cancellations committed up to this revision. */
  public void advanceTo(long appliedRevision) {
    revision = Math.max(revision, appliedRevision);
  }

  /** Fails all waiting queries, because this node may no longer answer from memory. */
  public void failWaiters() {
    generation++;
    readPending = false;
    revision = 0;
    List<Consumer<Boolean>> failed = waiters;
    waiters = new ArrayList<>();
    failed.forEach(waiter -> waiter.accept(false));
  }

  /**
   * Waits for memory to contain all cancellations committed before this call.
   *
   * @param onComplete accepts true once it does, or false if the read failed
   */
  public void awaitCaughtUp(Consumer<Boolean> onComplete) {
    waiters.add(onComplete);
  }

  /** Starts a read for all queries that have arrived since the last one, unless one is pending. */
  public void tick() {
    if (!readPending && !waiters.isEmpty()) {
      readChanges();
    }
  }

  private void readChanges() {
    readPending = true;
    long sentGeneration = generation;
    long requestedMs = context.nowMs();
    List<Consumer<Boolean>> readWaiters = waiters;
    waiters = new ArrayList<>();
    store.send(
        new StoreRequest.Watch(StoreKeys.CANCELLATION_PREFIX, revision, 0),
        RequestPriority.SUBMIT,
        reply -> {
          boolean caughtUp = sentGeneration == generation && reply instanceof Reply.Changes;
          if (caughtUp) {
            apply((Reply.Changes) reply, requestedMs);
          }
          readWaiters.forEach(waiter -> waiter.accept(caughtUp));
          if (sentGeneration == generation) {
            readPending = false;
          }
        });
  }

  private void apply(Reply.Changes changes, long requestedMs) {
    changes.items().forEach(cancellationConsumer);
    revision = Math.max(revision, changes.revision());
    onCaughtUp.accept(requestedMs);
  }
}
