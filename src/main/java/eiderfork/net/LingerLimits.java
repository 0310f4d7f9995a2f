package eiderfork.net;

/**
 * How long a server's connection may wait for its peer's end after the last response.
 *
 * @param timeoutMs the longest time
 * @param maxDiscardedBytes the most bytes that are read and discarded
 * @param maxConnections the most connections of a server that may wait at once
 */
record LingerLimits(long timeoutMs, long maxDiscardedBytes, int maxConnections) {
  /** The protocol's limit on a user's wait for a response; nobody reads it later. */
  private static final long USER_TIMEOUT_MS = 5000;

  /** The longest bodies that are taken, so many of which are discarded at most. */
  private static final int MAX_DISCARDED_BODIES = 64;

  /** One socket in so many may wait for a peer's end. */
  private static final int SOCKETS_DIVISOR = 8;

  /** The limits of a server whose process has so many sockets. */
  static LingerLimits of(int sockets) {
    return new LingerLimits(
        USER_TIMEOUT_MS,
        (long) MAX_DISCARDED_BODIES * RequestAggregator.MAX_BODY_BYTES,
        Math.max(1, sockets / SOCKETS_DIVISOR));
  }
}
