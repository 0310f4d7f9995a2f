package eiderfork.core;

import eiderfork.core.context.Context;
import eiderfork.model.Report;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;
import java.util.function.Predicate;

/** Reports that can't be answered yet, in the order in which they came. */
final class ParkedReports {
  /** A report that waits. */
  record Parked(long ticket, Report report, long sinceMs) {}

  private final Context context;
  private final Queue<Parked> reports = new ArrayDeque<>();

  ParkedReports(Context context) {
    this.context = context;
  }

  void add(long ticket, Report report) {
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
