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
 * Brings a leader's memory up to the cancellations committed before a question was asked. A peer
 * that could not reach the leader may have written one and told its user; the long watch brings it
 * a moment later, and an answer from memory in between would be older than what was told. One
 * request serves every question that waits.
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
   * @param consumer takes each cancellation
   * @param caughtUpTo takes the moment of which all cancellations have been taken
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

  /** Gives those who wait no for an answer: memory is not this node's to speak from any more. */
  public void failWaiters() {
    generation++;
    readPending = false;
    revision = 0;
    List<Consumer<Boolean>> all = waiters;
    waiters = new ArrayList<>();
    all.forEach(each -> each.accept(false));
  }

  /** Calls back with whether memory has caught up with this moment, or with a later one. */
  public void awaitCaughtUp(Consumer<Boolean> onComplete) {
    waiters.add(onComplete);
  }

  /** Asks for all that came since the last tick; a question waits for that, not for long. */
  public void tick() {
    if (!readPending && !waiters.isEmpty()) {
      readChanges();
    }
  }

  private void readChanges() {
    readPending = true;
    long sentGeneration = generation;
    long requestedMs = context.nowMs;
    List<Consumer<Boolean>> served = waiters;
    waiters = new ArrayList<>();
    store.send(
        new StoreRequest.Watch(StoreKeys.CANCELLATION_PREFIX, revision, 0),
        RequestPriority.SUBMIT,
        reply -> {
          boolean caughtUp = sentGeneration == generation && reply instanceof Reply.Changes;
          if (caughtUp) {
            Reply.Changes changes = (Reply.Changes) reply;
            changes.items().forEach(cancellationConsumer);
            revision = Math.max(revision, changes.revision());
            caughtUpTo.accept(requestedMs);
          }
          served.forEach(each -> each.accept(caughtUp));
          if (sentGeneration == generation) {
            readPending = false;
          }
        });
  }
}
