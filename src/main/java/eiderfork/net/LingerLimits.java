package eiderfork.net;

/**
 * Limits on the lingering close of a server's connections, in which the server waits for the peer
 * to close after the last response.
 *
 * @param timeoutMs maximum wait for the peer to close
 * @param maxDiscardedBytes maximum number of bytes read and discarded per connection
 * @param maxConnections maximum number of connections of a server in lingering close
 */
record LingerLimits(long timeoutMs, long maxDiscardedBytes, int maxConnections) {
  /** The protocol's limit on a user's wait for a response; a user reads no response after it. */
  private static final long USER_RESPONSE_TIMEOUT_MS = 5000;

  /** Limit on the discarded bytes of a connection, in request bodies of the maximum size. */
  private static final int MAX_DISCARDED_BODIES = 64;

  /** Divides the number of sockets to get the limit on connections in lingering close. */
  private static final int SOCKETS_DIVISOR = 8;

  /** Returns the limits of a server whose process has the given number of sockets. */
  static LingerLimits of(int sockets) {
    return new LingerLimits(
        USER_RESPONSE_TIMEOUT_MS,
        (long) MAX_DISCARDED_BODIES * RequestAggregator.MAX_BODY_BYTES,
        Math.max(1, sockets / SOCKETS_DIVISOR));
  }
}
