package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Heartbeat;

/**
 * The newest session of a machine's worker that this leader knows of, and what it knows of the
 * session's lease. A lease belongs to one session: when it is over, the worker forgets its tasks
 * and begins the next session, which has a lease of its own from then on.
 */
final class WorkerIncarnation {
  /** The newest report of this term, null before the first. */
  private Heartbeat report;

  private long heardMs;
  private long leaseFromMs;

  /** The newest report of this term, null before the first. */
  Heartbeat report() {
    return report;
  }

  /** The session's number, 0 before the first report. */
  long number() {
    return report == null ? 0 : report.session();
  }

  /** When the newest report came, by itself or with an answer; 0 for never in this term. */
  long heardMs() {
    return heardMs;
  }

  /**
   * The latest moment from which the lease may run: when a report was last answered or, where that
   * is later, when the session was first seen. 0 for never in this term.
   */
  long leaseFromMs() {
    return leaseFromMs;
  }

  /** Whether the report is newer than all that is known of the worker. */
  boolean isNews(Heartbeat other) {
    return report == null || other.newerThan(report.session(), report.seq());
  }

  /**
   * Takes the newest report.
   *
   * @return whether it is the first that is seen of its session
   */
  boolean take(Heartbeat newest, long nowMs) {
    boolean first = report == null || newest.session() != report.session();
    report = newest;
    heardMs = nowMs;
    if (first) {
      // A lease counted from an answer in the session before once ended while tasks ran in this
      // one.
      leaseFromMs = nowMs;
    }
    return first;
  }

  /** The worker's lease may be renewed now. */
  void renewed(long nowMs) {
    leaseFromMs = nowMs;
  }

  /** Whether the lease may be over, so that nothing should start in this session any more. */
  boolean mayBeOver(long nowMs, long leaseMs) {
    return nowMs - leaseFromMs > leaseMs;
  }

  /**
   * Whether the lease is surely over by the worker's clock, too.
   *
   * @param notBeforeMs up to when somebody else may have renewed it
   */
  boolean isSurelyOver(long nowMs, long leaseMs, long notBeforeMs, long marginMs) {
    long fromMs = Math.max(leaseFromMs, notBeforeMs);
    return nowMs - fromMs > ControllerContext.surely(leaseMs) + marginMs;
  }
}
