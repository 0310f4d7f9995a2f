package eiderfork.controller.workers;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Heartbeat;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;
import java.util.function.Predicate;

/** Heartbeats that can't be answered yet, in the order of their arrival. */
final class DeferredHeartbeats {
  /** A heartbeat that waits for its response. */
  record PendingHeartbeat(long ticket, Heartbeat heartbeat, long receivedMs) {}

  private final ControllerContext context;
  private final Queue<PendingHeartbeat> pending = new ArrayDeque<>();

  DeferredHeartbeats(ControllerContext context) {
    this.context = context;
  }

  /** Defers the response to a heartbeat that has just arrived. */
  void add(long ticket, Heartbeat heartbeat) {
    pending.add(new PendingHeartbeat(ticket, heartbeat, context.nowMs()));
  }

  /**
   * Tries to resolve each of them.
   *
   * @param isResolved tries to respond, and tells whether the heartbeat need not wait any more
   */
  void retry(Predicate<PendingHeartbeat> isResolved) {
    for (Iterator<PendingHeartbeat> iterator = pending.iterator(); iterator.hasNext(); ) {
      if (isResolved.test(iterator.next())) {
        iterator.remove();
      }
    }
  }
}
