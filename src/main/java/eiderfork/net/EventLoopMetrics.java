package eiderfork.net;

import eiderfork.controller.message.Input;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * How long the event loop takes over its inputs, by their kind, and how much peers exchange: for a
 * log line that shows what a controller's processor time is used for.
 */
final class EventLoopMetrics {
  private static final double NANOS_PER_MS = 1e6;
  private static final double BYTES_PER_KB = 1024;

  private static final class InputStats {
    private long inputs;
    private long nanos;
    private long maxNanos;

    void add(long inputNanos) {
      inputs++;
      nanos += inputNanos;
      maxNanos = Math.max(maxNanos, inputNanos);
    }

    double meanMs() {
      return nanos / NANOS_PER_MS / inputs;
    }

    double maxMs() {
      return maxNanos / NANOS_PER_MS;
    }
  }

  private final Map<String, InputStats> statsByKind = new TreeMap<>();
  private long peerRequests;
  private long peerBytesIn;
  private long peerBytesOut;

  /** An input took that long, including its effects. */
  void recordInput(Input input, long nanos) {
    String kind = input.loggedName();
    statsByKind.computeIfAbsent(kind, k -> new InputStats()).add(nanos);
  }

  /** A peer sent a request of that size. */
  void recordPeerRequest(int bytes) {
    peerRequests++;
    peerBytesIn += bytes;
  }

  /** A peer was sent a response of that size. */
  void recordPeerResponse(int bytes) {
    peerBytesOut += bytes;
  }

  /** What was recorded since the last call, as keys and values. */
  String takeSummary() {
    StringBuilder summary = new StringBuilder();
    statsByKind.forEach((kind, stats) -> append(summary, kind, stats));
    summary.append(
        String.format(
            Locale.ROOT,
            "peerRequests=%d peerInKb=%.1f peerOutKb=%.1f",
            peerRequests,
            peerBytesIn / BYTES_PER_KB,
            peerBytesOut / BYTES_PER_KB));
    reset();
    return summary.toString();
  }

  private static void append(StringBuilder summary, String kind, InputStats stats) {
    summary.append(
        String.format(
            Locale.ROOT,
            "%1$s=%2$d %1$sMeanMs=%3$.2f %1$sMaxMs=%4$.0f ",
            kind,
            stats.inputs,
            stats.meanMs(),
            stats.maxMs()));
  }

  private void reset() {
    statsByKind.clear();
    peerRequests = 0;
    peerBytesIn = 0;
    peerBytesOut = 0;
  }
}
