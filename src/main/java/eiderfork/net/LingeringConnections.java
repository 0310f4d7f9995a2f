package eiderfork.net;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connections of a server in lingering close. If their number exceeds the limit, the oldest one
 * is closed. Thread-safe.
 */
final class LingeringConnections {
  private final LingerLimits limits;
  private final Set<LingeringCloseHandler> oldestFirst = new LinkedHashSet<>();

  LingeringConnections(LingerLimits limits) {
    this.limits = limits;
  }

  LingerLimits limits() {
    return limits;
  }

  synchronized int count() {
    return oldestFirst.size();
  }

  void add(LingeringCloseHandler connection) {
    LingeringCloseHandler oldest = addAndTakeExcess(connection);
    if (oldest != null) {
      oldest.evict();
    }
  }

  private synchronized LingeringCloseHandler addAndTakeExcess(LingeringCloseHandler connection) {
    oldestFirst.add(connection);
    if (oldestFirst.size() <= limits.maxConnections()) {
      return null;
    }
    Iterator<LingeringCloseHandler> connections = oldestFirst.iterator();
    LingeringCloseHandler oldest = connections.next();
    connections.remove();
    return oldest;
  }

  synchronized void remove(LingeringCloseHandler connection) {
    oldestFirst.remove(connection);
  }
}
