package eiderfork.net;

import eiderfork.config.Settings.Endpoint;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Connections that are kept open while no request uses them. */
final class IdleConnections {
  /** One endpoint may have one part in so many of all idle connections. */
  private static final int PER_ENDPOINT_DIVISOR = 8;

  /** However few connections may be idle in all, one endpoint may have this many. */
  private static final int MIN_PER_ENDPOINT = 4;

  private static final long TIMEOUT_MS = 20_000;
  private static final long NANOS_PER_MS = 1_000_000;

  private record IdleConnection(Endpoint endpoint, Channel channel, long idleSinceMs) {}

  private final Map<Endpoint, Deque<IdleConnection>> byEndpoint = new HashMap<>();
  private final Set<IdleConnection> oldestFirst = new LinkedHashSet<>();
  private final int maxCount;
  private final int maxPerEndpoint;

  IdleConnections(int maxCount) {
    this.maxCount = maxCount;
    maxPerEndpoint = Math.max(MIN_PER_ENDPOINT, maxCount / PER_ENDPOINT_DIVISOR);
  }

  /** How many endpoints are remembered. */
  int endpointCount() {
    return byEndpoint.size();
  }

  private static long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /** Takes the connection to an endpoint that was used last, or null for none. */
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

  /** Keeps a connection for later requests, or closes it where there are enough. */
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

  /** Closes connections that no request used for a while. */
  void closeExpired() {
    long nowMs = nowMs();
    while (!oldestFirst.isEmpty()
        && nowMs - oldestFirst.iterator().next().idleSinceMs > TIMEOUT_MS) {
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
