package eiderfork.loadtest;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/** Measures a load test phase by phase, and assembles its report. */
final class LoadTestRecorder {
  private static final double NANOS_PER_S = 1e9;

  /** Counters at one point in time, used to compute differences over a phase. */
  private record Snapshot(
      CellCounters counters, double[] cpuS, long atMs, double ownCpuS, CpuTimes machine) {}

  private final List<EmulatedCell> cells;
  private final List<LoadTestReport.Phase> phases = new ArrayList<>();
  private final Map<ControllerProcess, Double> maxMemoryMb = new HashMap<>();
  private final Map<ControllerProcess, Integer> unexpectedExits = new HashMap<>();
  private List<Snapshot> phaseStart;

  LoadTestRecorder(List<EmulatedCell> cells) {
    this.cells = cells;
  }

  /** Starts the first phase. */
  void start() throws IOException, InterruptedException {
    phaseStart = snapshots();
  }

  /** Records the memory that a controller uses now. */
  void recordMemory(ControllerProcess controller) {
    maxMemoryMb.merge(controller, controller.memoryMb(), Math::max);
  }

  /** Records that a controller exited without having been killed by a fault. */
  void recordUnexpectedExit(ControllerProcess controller) {
    unexpectedExits.merge(controller, 1, Integer::sum);
  }

  private List<Snapshot> snapshots() throws IOException, InterruptedException {
    double ownCpuS = ownCpuS();
    CpuTimes machine = CpuTimes.read();
    List<Snapshot> all = new ArrayList<>();
    for (EmulatedCell cell : cells) {
      double[] cpuS = cell.controllers().stream().mapToDouble(ControllerProcess::cpuS).toArray();
      all.add(
          new Snapshot(
              cell.call(() -> cell.counters.clone()), cpuS, SteadyClock.nowMs(), ownCpuS, machine));
    }
    return all;
  }

  private static double ownCpuS() {
    var system = ManagementFactory.getOperatingSystemMXBean();
    return ((com.sun.management.OperatingSystemMXBean) system).getProcessCpuTime() / NANOS_PER_S;
  }

  /** Ends the current phase and starts the next one. */
  void endPhase(String name) throws IOException, InterruptedException {
    List<Snapshot> now = snapshots();
    for (int i = 0; i < cells.size(); i++) {
      phases.add(phase(name, cells.get(i), phaseStart.get(i), now.get(i)));
    }
    phaseStart = now;
  }

  private LoadTestReport.Phase phase(String name, EmulatedCell cell, Snapshot from, Snapshot to)
      throws InterruptedException {
    double seconds = (to.atMs - from.atMs) / 1000.0;
    int leader = cell.call(cell::leader);
    double followers = 0;
    for (int i = 0; i < to.cpuS.length; i++) {
      followers += i == leader ? 0 : to.cpuS[i] - from.cpuS[i];
    }
    return new LoadTestReport.Phase(
        name,
        cell.number,
        seconds,
        cell.call(cell::workerCount),
        cell.call(cell::runningTaskCount),
        cell.call(cell::liveJobCount),
        cell.call(cell::storeKeyCount),
        (to.cpuS[leader] - from.cpuS[leader]) / seconds,
        followers / Math.max(1, to.cpuS.length - 1) / seconds,
        maxMemoryMb.getOrDefault(cell.controllers().get(leader), 0.0),
        (to.ownCpuS - from.ownCpuS) / seconds,
        to.machine.idleShareSince(from.machine),
        to.counters.minus(from.counters));
  }

  /** The report of all phases so far. */
  LoadTestReport report(String file, LoadTestSettings settings) throws InterruptedException {
    Histogram lag = mergeHistograms(cell -> cell.lagMs);
    List<RecoveryTimer.Result> recoveries = new ArrayList<>();
    List<InvariantChecker.Breach> breaches = new ArrayList<>();
    long breachCount = 0;
    for (EmulatedCell cell : cells) {
      recoveries.addAll(
          cell.call(() -> cell.recoveries.stream().map(RecoveryTimer::result).toList()));
      breaches.addAll(cell.call(() -> cell.checker.breaches()));
      breachCount += cell.call(() -> cell.checker.breachCount());
    }
    return new LoadTestReport(
        file,
        settings,
        Runtime.getRuntime().availableProcessors(),
        phases,
        latencies(),
        recoveries,
        processFigures(),
        lag.getValueAtPercentile(99),
        lag.getMaxValue(),
        breachCount,
        breaches);
  }

  private List<LoadTestReport.Latency> latencies() throws InterruptedException {
    return List.of(
        LoadTestReport.Latency.of(
            "start, during the ramp", mergeHistograms(cell -> cell.rampStartMs)),
        LoadTestReport.Latency.of("start, after the ramp", mergeHistograms(cell -> cell.startMs)),
        LoadTestReport.Latency.of(
            "start of urgent work", mergeHistograms(cell -> cell.urgentStartMs)),
        LoadTestReport.Latency.of("submission accepted", mergeHistograms(cell -> cell.acceptMs)));
  }

  private List<LoadTestReport.ProcessFigures> processFigures() {
    return cells.stream().flatMap(cell -> cell.controllers().stream()).map(this::figures).toList();
  }

  private LoadTestReport.ProcessFigures figures(ControllerProcess controller) {
    return new LoadTestReport.ProcessFigures(
        controller.name(),
        controller.cpuS(),
        maxMemoryMb.getOrDefault(controller, 0.0),
        unexpectedExits.getOrDefault(controller, 0));
  }

  private Histogram mergeHistograms(Function<EmulatedCell, Histogram> histogram)
      throws InterruptedException {
    Histogram sum = null;
    for (EmulatedCell cell : cells) {
      Histogram copy = cell.call(() -> histogram.apply(cell).copy());
      if (sum == null) {
        sum = copy;
      } else {
        sum.add(copy);
      }
    }
    return sum;
  }
}
