package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Heartbeat;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;
import java.util.function.Predicate;

/** Reports that can't be answered yet, in the order in which they came. */
final class DeferredHeartbeats {
  /** A report that waits. */
  record PendingHeartbeat(long ticket, Heartbeat heartbeat, long receivedMs) {}

  private final ControllerContext context;
  private final Queue<PendingHeartbeat> pending = new ArrayDeque<>();

  DeferredHeartbeats(ControllerContext context) {
    this.context = context;
  }

  void add(long ticket, Heartbeat heartbeat) {
    pending.add(new PendingHeartbeat(ticket, heartbeat, context.nowMs));
  }

  /**
   * Has each of them tried again.
   *
   * @param isResolved whether a report need not wait any more
   */
  void retry(Predicate<PendingHeartbeat> isResolved) {
    for (Iterator<PendingHeartbeat> all = pending.iterator(); all.hasNext(); ) {
      if (isResolved.test(all.next())) {
        all.remove();
      }
    }
  }
}
