package eiderfork.net;

import eiderfork.controller.message.Input;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * How long the event loop takes over its inputs, by their kind, and what peers exchange: told in
 * the log once a minute, so that it can be seen what a controller's processor goes into.
 */
final class EventLoopMetrics {
  private static final double NANOS_PER_MS = 1e6;
  private static final double BYTES_PER_KB = 1024;

  private static final class InputStats {
    long inputs;
    long nanos;
    long maxNanos;
  }

  private final Map<String, InputStats> statsByKind = new TreeMap<>();
  private long peerRequests;
  private long peerBytesIn;
  private long peerBytesOut;

  /** An input took that long, with all that it had sent. */
  void recordInput(Input input, long nanos) {
    InputStats stats =
        statsByKind.computeIfAbsent(input.getClass().getSimpleName(), k -> new InputStats());
    stats.inputs++;
    stats.nanos += nanos;
    stats.maxNanos = Math.max(stats.maxNanos, nanos);
  }

  /** A peer sent a request of that size. */
  void recordPeerRequest(int bytes) {
    peerRequests++;
    peerBytesIn += bytes;
  }

  /** A peer was answered with that much. */
  void recordPeerResponse(int bytes) {
    peerBytesOut += bytes;
  }

  /** What there was since this was last told. */
  String takeSummary() {
    StringBuilder text = new StringBuilder();
    statsByKind.forEach(
        (kind, stats) ->
            text.append(
                String.format(
                    Locale.ROOT,
                    "%s %d (mean %.2f, most %.0f ms), ",
                    kind,
                    stats.inputs,
                    stats.nanos / NANOS_PER_MS / stats.inputs,
                    stats.maxNanos / NANOS_PER_MS)));
    text.append(
        String.format(
            Locale.ROOT,
            "peers' requests %d (%.1f KB in, %.1f KB out)",
            peerRequests,
            peerBytesIn / BYTES_PER_KB,
            peerBytesOut / BYTES_PER_KB));
    statsByKind.clear();
    peerRequests = 0;
    peerBytesIn = 0;
    peerBytesOut = 0;
    return text.toString();
  }
}
