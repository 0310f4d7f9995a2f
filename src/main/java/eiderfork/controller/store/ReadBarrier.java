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
 * Brings a leader's memory up to the cancellations committed before a query was received. A peer
 * that could not reach the leader may have committed and confirmed one; the long watch brings it a
 * moment later, and a response from memory in between would contradict it. One request serves all
 * queries that wait.
 */
public final class ReadBarrier {
  private final ControllerContext context;
  private final StoreClient store;
  private final Consumer<Reply.Item> cancellationConsumer;
  private final LongConsumer caughtUpTo;
  private List<Consumer<Boolean>> waiters = new ArrayList<>();
  private boolean readPending;
  private long revision;
  private long generation;

  /**
   * @param consumer takes each change of cancellations
   * @param caughtUpTo takes a moment up to which all cancellations have been passed on
   */
  public ReadBarrier(
      ControllerContext context,
      StoreClient store,
      Consumer<Reply.Item> consumer,
      LongConsumer caughtUpTo) {
    this.context = context;
    this.store = store;
    this.cancellationConsumer = consumer;
    this.caughtUpTo = caughtUpTo;
  }

  /** Memory holds what was committed up to this revision. */
  public void advanceTo(long upTo) {
    revision = Math.max(revision, upTo);
  }

  /** Fails all that wait: this node may not answer from memory any more. */
  public void failWaiters() {
    generation++;
    readPending = false;
    revision = 0;
    List<Consumer<Boolean>> failed = waiters;
    waiters = new ArrayList<>();
    failed.forEach(waiter -> waiter.accept(false));
  }

  /** Calls back once it is known whether memory has caught up with this moment. */
  public void awaitCaughtUp(Consumer<Boolean> onComplete) {
    waiters.add(onComplete);
  }

  /** Reads for all that began to wait since the last read. */
  public void tick() {
    if (!readPending && !waiters.isEmpty()) {
      readChanges();
    }
  }

  private void readChanges() {
    readPending = true;
    long sentGeneration = generation;
    long requestedMs = context.nowMs();
    List<Consumer<Boolean>> served = waiters;
    waiters = new ArrayList<>();
    store.send(
        new StoreRequest.Watch(StoreKeys.CANCELLATION_PREFIX, revision, 0),
        RequestPriority.SUBMIT,
        reply -> {
          boolean caughtUp = sentGeneration == generation && reply instanceof Reply.Changes;
          if (caughtUp) {
            apply((Reply.Changes) reply, requestedMs);
          }
          served.forEach(waiter -> waiter.accept(caughtUp));
          if (sentGeneration == generation) {
            readPending = false;
          }
        });
  }

  private void apply(Reply.Changes changes, long requestedMs) {
    changes.items().forEach(cancellationConsumer);
    revision = Math.max(revision, changes.revision());
    caughtUpTo.accept(requestedMs);
  }
}
