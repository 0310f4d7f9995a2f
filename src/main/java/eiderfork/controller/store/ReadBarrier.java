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
  private final StoreClient gate;
  private final Consumer<Reply.Item> taker;
  private final LongConsumer caughtUpTo;
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private boolean asking;
  private long revision;
  private long round;

  /**
   * @param taker takes each cancellation
   * @param caughtUpTo takes the moment of which all cancellations have been taken
   */
  public ReadBarrier(
      ControllerContext context,
      StoreClient gate,
      Consumer<Reply.Item> taker,
      LongConsumer caughtUpTo) {
    this.context = context;
    this.gate = gate;
    this.taker = taker;
    this.caughtUpTo = caughtUpTo;
  }

  /** Memory holds what was committed up to this revision. */
  public void start(long upTo) {
    revision = Math.max(revision, upTo);
  }

  /** Gives those who wait no for an answer: memory is not this node's to speak from any more. */
  public void stop() {
    round++;
    asking = false;
    revision = 0;
    List<Consumer<Boolean>> all = waiting;
    waiting = new ArrayList<>();
    all.forEach(each -> each.accept(false));
  }

  /** Calls back with whether memory has caught up with this moment, or with a later one. */
  public void pass(Consumer<Boolean> then) {
    waiting.add(then);
  }

  /** Asks for all that came since the last tick; a question waits for that, not for long. */
  public void tick() {
    if (!asking && !waiting.isEmpty()) {
      ask();
    }
  }

  private void ask() {
    asking = true;
    long of = round;
    long askedMs = context.nowMs;
    List<Consumer<Boolean>> served = waiting;
    waiting = new ArrayList<>();
    gate.send(
        new StoreRequest.Watch(StoreKeys.ABORT, revision, 0),
        RequestPriority.SUBMIT,
        reply -> {
          boolean caughtUp = of == round && reply instanceof Reply.Changes;
          if (caughtUp) {
            Reply.Changes changes = (Reply.Changes) reply;
            changes.items().forEach(taker);
            revision = Math.max(revision, changes.revision());
            caughtUpTo.accept(askedMs);
          }
          served.forEach(each -> each.accept(caughtUp));
          if (of == round) {
            asking = false;
          }
        });
  }
}
