package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Heartbeat;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;
import java.util.function.Predicate;

/** Reports that can't be answered yet, in the order in which they came. */
final class PendingHeartbeats {
  /** A report that waits. */
  record Parked(long ticket, Heartbeat report, long sinceMs) {}

  private final ControllerContext context;
  private final Queue<Parked> reports = new ArrayDeque<>();

  PendingHeartbeats(ControllerContext context) {
    this.context = context;
  }

  void add(long ticket, Heartbeat report) {
    reports.add(new Parked(ticket, report, context.nowMs));
  }

  /**
   * Has each of them tried again.
   *
   * @param taker whether a report need not wait any more
   */
  void retry(Predicate<Parked> taker) {
    for (Iterator<Parked> all = reports.iterator(); all.hasNext(); ) {
      if (taker.test(all.next())) {
        all.remove();
      }
    }
  }
}
