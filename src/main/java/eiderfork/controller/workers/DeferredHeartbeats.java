package eiderfork.controller.workers;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Heartbeat;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;
import java.util.function.Predicate;

/** A queue of heartbeats that cannot be answered yet, in order of arrival. */
final class DeferredHeartbeats {
  /** A heartbeat whose response is deferred. */
  record DeferredHeartbeat(long ticket, Heartbeat heartbeat, long receivedMs) {}

  private final ControllerContext context;
  private final Queue<DeferredHeartbeat> pending = new ArrayDeque<>();

  DeferredHeartbeats(ControllerContext context) {
    this.context = context;
  }

  /** Defers the response to a heartbeat that has just arrived. */
  void add(long ticket, Heartbeat heartbeat) {
    pending.add(new DeferredHeartbeat(ticket, heartbeat, context.nowMs()));
  }

  /**
   * Retries all deferred heartbeats, and removes those that are resolved.
   *
   * @param tryResolve tries to respond; returns true if the heartbeat need not be deferred any
   *     longer
   */
  void retry(Predicate<DeferredHeartbeat> tryResolve) {
    for (Iterator<DeferredHeartbeat> iterator = pending.iterator(); iterator.hasNext(); ) {
      if (tryResolve.test(iterator.next())) {
        iterator.remove();
      }
    }
  }
}
