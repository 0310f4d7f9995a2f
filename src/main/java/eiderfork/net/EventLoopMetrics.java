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

  private static final class Count {
    long inputs;
    long nanos;
    long mostNanos;
  }

  private final Map<String, Count> byKind = new TreeMap<>();
  private long peerRequests;
  private long peerBytesIn;
  private long peerBytesOut;

  /** An input took that long, with all that it had sent. */
  void took(Input input, long nanos) {
    Count count = byKind.computeIfAbsent(input.getClass().getSimpleName(), k -> new Count());
    count.inputs++;
    count.nanos += nanos;
    count.mostNanos = Math.max(count.mostNanos, nanos);
  }

  /** A peer sent a request of that size. */
  void peerAsked(int bytes) {
    peerRequests++;
    peerBytesIn += bytes;
  }

  /** A peer was answered with that much. */
  void peerAnswered(int bytes) {
    peerBytesOut += bytes;
  }

  /** What there was since this was last told. */
  String tell() {
    StringBuilder text = new StringBuilder();
    byKind.forEach(
        (kind, it) ->
            text.append(
                String.format(
                    Locale.ROOT,
                    "%s %d (mean %.2f, most %.0f ms), ",
                    kind,
                    it.inputs,
                    it.nanos / NANOS_PER_MS / it.inputs,
                    it.mostNanos / NANOS_PER_MS)));
    text.append(
        String.format(
            Locale.ROOT,
            "peers' requests %d (%.1f KB in, %.1f KB out)",
            peerRequests,
            peerBytesIn / BYTES_PER_KB,
            peerBytesOut / BYTES_PER_KB));
    byKind.clear();
    peerRequests = 0;
    peerBytesIn = 0;
    peerBytesOut = 0;
    return text.toString();
  }
}
