package eiderfork.net;

import eiderfork.controller.message.Input;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Handling times of the event loop by kind of input, and the number and size of messages from
 * peers, for a log line that shows where a controller's CPU time goes.
 */
final class EventLoopMetrics {
  private static final double NANOS_PER_MS = 1e6;
  private static final double BYTES_PER_KB = 1024;

  private static final class InputStats {
    private long count;
    private long totalNs;
    private long maxNs;

    void add(long durationNs) {
      count++;
      totalNs += durationNs;
      maxNs = Math.max(maxNs, durationNs);
    }

    double meanMs() {
      return totalNs / NANOS_PER_MS / count;
    }

    double maxMs() {
      return maxNs / NANOS_PER_MS;
    }
  }

  private final Map<String, InputStats> statsByKind = new TreeMap<>();
  private long peerRequests;
  private long peerBytesIn;
  private long peerBytesOut;

  /** Records the time spent on an input, including the execution of its effects. */
  void recordInput(Input input, long inputDurationNs) {
    String kind = input.loggedName();
    statsByKind.computeIfAbsent(kind, k -> new InputStats()).add(inputDurationNs);
  }

  /** Records the body size of a request from a peer. */
  void recordPeerRequest(int bytes) {
    peerRequests++;
    peerBytesIn += bytes;
  }

  /** Records the body size of a response to a peer. */
  void recordPeerResponse(int bytes) {
    peerBytesOut += bytes;
  }

  /** Returns the metrics recorded since the last call as key=value pairs, and resets them. */
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
            stats.count,
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
