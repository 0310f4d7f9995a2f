package eiderfork.loadtest;

import com.fasterxml.jackson.annotation.JsonAutoDetect.Visibility;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Measurements of a load test, which runs on loopback with emulated services, workers and users.
 *
 * @param emulatorLagP99Ms the delay of the emulation's own ticks; large values mean that the
 *     machine was the bottleneck, not the service
 */
record LoadTestReport(
    String file,
    LoadTestSettings settings,
    int cores,
    List<Phase> phases,
    List<Latency> latencies,
    List<RecoveryTimer.Result> recoveries,
    List<ProcessFigures> processes,
    double emulatorLagP99Ms,
    double emulatorLagMaxMs,
    long breachCount,
    List<InvariantChecker.Breach> breaches) {

  /**
   * Figures of a cell during a phase.
   *
   * @param leaderCores cores that the leader's process used, on average
   * @param followerCores the same for each of the cell's other controllers, on average
   * @param memoryMb the largest resident memory of the leader that was seen
   * @param idleShare the idle share of the machine's processor time
   */
  record Phase(
      String name,
      int cell,
      double seconds,
      int workers,
      int runningTasks,
      int liveJobs,
      int stateKeys,
      double leaderCores,
      double followerCores,
      double memoryMb,
      double emulatorCores,
      double idleShare,
      CellCounters counters) {}

  /** Latencies of all cells together, in milliseconds. */
  record Latency(String what, long count, double p50, double p99, double max) {
    static Latency of(String what, Histogram histogram) {
      return new Latency(
          what,
          histogram.getTotalCount(),
          histogram.getValueAtPercentile(50),
          histogram.getValueAtPercentile(99),
          histogram.getMaxValue());
    }
  }

  /** A controller's processor time over the run and the largest resident memory seen. */
  record ProcessFigures(String name, double cpuS, double memoryMb, int endedByItself) {}

  /** Returns whether no invariant was violated and no controller exited unexpectedly. */
  boolean isGood() {
    return breachCount == 0 && processes.stream().allMatch(it -> it.endedByItself() == 0);
  }

  String toJson() {
    ObjectMapper mapper =
        JsonMapper.builder()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .visibility(PropertyAccessor.FIELD, Visibility.ANY)
            .visibility(PropertyAccessor.IS_GETTER, Visibility.NONE)
            .build();
    try {
      return mapper.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a report that can't be written as JSON", e);
    }
  }

  private static void line(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }

  String toText() {
    StringBuilder text = new StringBuilder();
    line(text, "scale run of %s on loopback, services and workers emulated, %d cores", file, cores);
    line(text, "");
    String head = "%-6s %4s %6s %7s %7s %6s %7s %8s %9s %7s %6s %6s %8s %7s %7s %7s";
    line(
        text,
        head,
        "phase",
        "cell",
        "s",
        "workers",
        "tasks",
        "jobs",
        "keys",
        "leader",
        "follower",
        "MB",
        "idle",
        "starts",
        "reports",
        "state/s",
        "write/s",
        "polls/s");
    phases.forEach(it -> phaseLine(text, it));
    line(text, "");
    line(text, "%-28s %9s %9s %9s %9s", "time in ms", "count", "p50", "p99", "max");
    for (Latency it : latencies) {
      line(text, "%-28s %9d %9.0f %9.0f %9.0f", it.what, it.count, it.p50, it.p99, it.max);
    }
    line(text, "");
    for (RecoveryTimer.Result it : recoveries) {
      line(
          text,
          "%s in cell %d: takeover %s, accepted again %s, missing %d (before %d), as before %s",
          it.kind(),
          it.cell(),
          seconds(it.takeoverS()),
          seconds(it.acceptedAgainS()),
          it.mostMissing(),
          it.missingBefore(),
          seconds(it.asBeforeS()));
    }
    line(text, "");
    line(
        text,
        "emulation late by %.0f ms (p99), %.0f ms (most); %d rules broken; %d processes ended",
        emulatorLagP99Ms,
        emulatorLagMaxMs,
        breachCount,
        processes.stream().mapToInt(ProcessFigures::endedByItself).sum());
    breaches.forEach(it -> line(text, "broken: %s, %s", it.rule(), it.what()));
    return text.toString();
  }

  private static void phaseLine(StringBuilder text, Phase it) {
    CellCounters n = it.counters;
    line(
        text,
        "%-6s %4d %6.0f %7d %7d %6d %7d %8.3f %9.3f %7.0f %6.2f %6.1f %8.1f %7.1f %7.1f %7.1f",
        it.name,
        it.cell,
        it.seconds,
        it.workers,
        it.runningTasks,
        it.liveJobs,
        it.stateKeys,
        it.leaderCores,
        it.followerCores,
        it.memoryMb,
        it.idleShare,
        n.starts / it.seconds,
        n.reports / it.seconds,
        n.stateRequests / it.seconds,
        n.stateWrites / it.seconds,
        n.polls / it.seconds);
  }

  private static String seconds(double value) {
    return value < 0 ? "not seen" : String.format(Locale.ROOT, "%.1f s", value);
  }
}
