package eiderfork.net;

import eiderfork.config.Settings.Endpoint;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Pool of idle connections that are kept open for later requests. */
final class IdleConnections {
  /** Divides the limit on all idle connections to get the limit for one endpoint. */
  private static final int MAX_PER_ENDPOINT_DIVISOR = 8;

  /** Lower bound of the limit for one endpoint, however low the limit on all connections is. */
  private static final int MIN_LIMIT_PER_ENDPOINT = 4;

  private static final long IDLE_TIMEOUT_MS = 20_000;
  private static final long NANOS_PER_MS = 1_000_000;

  private record IdleConnection(Endpoint endpoint, Channel channel, long idleSinceMs) {}

  private final Map<Endpoint, Deque<IdleConnection>> byEndpoint = new HashMap<>();
  private final Set<IdleConnection> oldestFirst = new LinkedHashSet<>();
  private final int maxCount;
  private final int maxPerEndpoint;

  IdleConnections(int maxCount) {
    this.maxCount = maxCount;
    maxPerEndpoint = Math.max(MIN_LIMIT_PER_ENDPOINT, maxCount / MAX_PER_ENDPOINT_DIVISOR);
  }

  /** Returns the number of endpoints that have idle connections. */
  int endpointCount() {
    return byEndpoint.size();
  }

  private static long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /** Removes and returns the most recently used open connection to an endpoint; null if none. */
  Channel take(Endpoint endpoint) {
    Deque<IdleConnection> idle = byEndpoint.get(endpoint);
    while (idle != null && !idle.isEmpty()) {
      IdleConnection newest = idle.getLast();
      remove(newest);
      if (newest.channel.isActive()) {
        return newest.channel;
      }
    }
    return null;
  }

  /**
   * Adds a connection. Closes it instead if its endpoint has reached its limit; closes the oldest
   * one if the pool exceeds its limit.
   */
  void add(Endpoint endpoint, Channel channel) {
    Deque<IdleConnection> idle = byEndpoint.computeIfAbsent(endpoint, k -> new ArrayDeque<>());
    if (idle.size() >= maxPerEndpoint) {
      channel.close();
      return;
    }
    IdleConnection connection = new IdleConnection(endpoint, channel, nowMs());
    idle.addLast(connection);
    oldestFirst.add(connection);
    if (oldestFirst.size() > maxCount) {
      closeOldest();
    }
  }

  /** Closes connections that have been idle for longer than the timeout. */
  void closeExpired() {
    long nowMs = nowMs();
    while (!oldestFirst.isEmpty()
        && nowMs - oldestFirst.iterator().next().idleSinceMs > IDLE_TIMEOUT_MS) {
      closeOldest();
    }
  }

  private void closeOldest() {
    IdleConnection oldest = oldestFirst.iterator().next();
    remove(oldest);
    oldest.channel.close();
  }

  private void remove(IdleConnection connection) {
    oldestFirst.remove(connection);
    Deque<IdleConnection> idle = byEndpoint.get(connection.endpoint);
    idle.remove(connection);
    if (idle.isEmpty()) {
      byEndpoint.remove(connection.endpoint);
    }
  }
}
