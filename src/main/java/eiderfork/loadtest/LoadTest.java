package eiderfork.loadtest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import eiderfork.config.InvalidSettingsException;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import org.HdrHistogram.Histogram;

/** Plays a scale run and makes its report. */
public final class LoadTest {
  private static final long SAMPLE_MS = 500;
  private static final long PROGRESS_MS = 5000;
  private static final long START_MS = 30_000;

  /** What was counted up to a moment, for the difference over a phase. */
  private record Snapshot(
      CellCounters counters, double[] cpuS, long atMs, double ownCpuS, CpuTimes machine) {}

  private final String file;
  private final LoadTestSettings settings;
  private final List<String> command;
  private final PrintStream progress;
  private final Path directory;
  private final List<EmulatedCell> cells = new ArrayList<>();
  private final List<LoadTestReport.Phase> phases = new ArrayList<>();
  private final FaultInjector troubles;
  private final Map<ControllerProcess, Double> mostMemoryMb = new HashMap<>();
  private final Map<ControllerProcess, Integer> endedByItself = new HashMap<>();
  private List<Snapshot> phaseBegan;
  private long beganMs;

  private LoadTest(
      String file,
      LoadTestSettings settings,
      List<String> command,
      Path directory,
      PrintStream progress) {
    this.file = file;
    this.settings = settings;
    this.command = command;
    this.directory = directory;
    this.progress = progress;
    troubles = new FaultInjector(settings.troubles(), cells);
  }

  /**
   * Plays a run.
   *
   * @param path the run's file
   * @param deploy the file that says how controllers are started
   * @param logs where the controllers' settings and logs go; null for a folder that is removed
   * @param progress takes a line every few seconds; null for none
   * @return the summary as text and as JSON, and whether all was well
   * @throws InvalidSettingsException where the file can't be used or asks too much of this machine
   * @throws IOException where a controller does not start
   */
  public static Outcome play(Path path, Path deploy, Path logs, PrintStream progress)
      throws InvalidSettingsException, IOException, InterruptedException {
    LoadTestSettings settings = LoadTestFile.read(path);
    double ownMb = Runtime.getRuntime().maxMemory() / 1024.0 / 1024.0;
    String objection =
        HostResourceLimits.objection(
            settings.controllerCount(),
            settings.cells().workers(),
            ownMb,
            HostResourceLimits.machineMb());
    if (objection != null) {
      throw new InvalidSettingsException(path.toString(), "cells", objection);
    }
    Path directory = logs == null ? Files.createTempDirectory("eiderfork-scale") : logs;
    Files.createDirectories(directory);
    LoadTest run = new LoadTest(path.toString(), settings, runCommand(deploy), directory, progress);
    Thread cleanUp = new Thread(() -> run.cleanUp(logs == null));
    Runtime.getRuntime().addShutdownHook(cleanUp);
    try {
      LoadTestReport report = run.play();
      return new Outcome(report.toText(), report.toJson(), report.isGood());
    } finally {
      run.cleanUp(logs == null);
      Runtime.getRuntime().removeShutdownHook(cleanUp);
      run.cells.forEach(EmulatedCell::close);
    }
  }

  /** The summary of a run, and whether no rule was broken and no process ended by itself. */
  public record Outcome(String text, String json, boolean good) {}

  private static List<String> runCommand(Path deploy) throws InvalidSettingsException, IOException {
    JsonNode run = new TomlMapper().readTree(Files.readString(deploy)).path("run");
    if (!run.isTextual()) {
      throw new InvalidSettingsException(deploy.toString(), "run", "missing");
    }
    return List.of(run.textValue().trim().split(" +"));
  }

  /** Ends every controller, also while the run is being interrupted. */
  private void cleanUp(boolean removesDirectory) {
    killAll();
    if (!removesDirectory) {
      return;
    }
    try (var files = Files.list(directory)) {
      for (Path each : files.toList()) {
        Files.delete(each);
      }
      Files.delete(directory);
    } catch (IOException e) {
      System.err.println("eiderfork: " + directory + " can't be removed: " + e.getMessage());
    }
  }

  private void killAll() {
    for (EmulatedCell cell : cells) {
      for (ControllerProcess controller : cell.controllers()) {
        try {
          controller.end();
        } catch (InterruptedException e) {
          controller.kill();
        }
      }
    }
  }

  private List<ControllerProcess> controllers() {
    return cells.stream().flatMap(cell -> cell.controllers().stream()).toList();
  }

  private static long nowMs() {
    return SteadyClock.nowMs();
  }

  private LoadTestReport play() throws IOException, InterruptedException {
    FreePorts ports = new FreePorts();
    for (int i = 0; i < settings.cells().count(); i++) {
      EmulatedCell cell = new EmulatedCell(settings, i);
      cells.add(cell);
      cell.prepare(directory, command, ports);
    }
    for (ControllerProcess controller : controllers()) {
      controller.start();
    }
    for (ControllerProcess controller : controllers()) {
      awaitHealthy(controller);
    }
    beganMs = nowMs();
    cells.forEach(EmulatedCell::begin);
    phaseBegan = snapshots();
    playPhases();
    return report();
  }

  private static void awaitHealthy(ControllerProcess controller)
      throws IOException, InterruptedException {
    long untilMs = nowMs() + START_MS;
    while (nowMs() < untilMs) {
      if (!controller.isAlive()) {
        throw new IOException(controller.name() + " ended while it was started");
      }
      try {
        URI health = URI.create("http://" + controller.publicAddress() + "/healthz");
        HttpURLConnection connection = (HttpURLConnection) health.toURL().openConnection();
        if (connection.getResponseCode() == HttpURLConnection.HTTP_OK) {
          return;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      Thread.sleep(SAMPLE_MS / 5);
    }
    throw new IOException(controller.name() + " does not answer");
  }

  private void playPhases() throws IOException, InterruptedException {
    LoadTestSettings.Phases at = settings.phases();
    playUntil("ramp", at.rampS());
    playUntil("steady", at.peakAtS());
    playUntil("peak", at.peakAtS() + at.peakS());
    playUntil("after", settings.runS());
  }

  private void playUntil(String phase, double endS) throws IOException, InterruptedException {
    double untilS = Math.min(endS, settings.runS());
    if (elapsedS() >= untilS) {
      return;
    }
    long toldMs = 0;
    while (elapsedS() < untilS) {
      Thread.sleep(SAMPLE_MS);
      sample();
      troubles.tick(elapsedS());
      if (progress != null && nowMs() - toldMs > PROGRESS_MS) {
        toldMs = nowMs();
        tell(phase);
      }
    }
    endPhase(phase);
  }

  private double elapsedS() {
    return (nowMs() - beganMs) / 1000.0;
  }

  /** Runs something on a cell's own thread. */
  static <T> T on(EmulatedCell cell, Callable<T> what) throws InterruptedException {
    try {
      return cell.loop.submit(what).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  private void tell(String phase) throws InterruptedException {
    int workers = 0;
    int tasks = 0;
    int missing = 0;
    long breaches = 0;
    for (EmulatedCell cell : cells) {
      workers += on(cell, cell::workerCount);
      tasks += on(cell, cell::runningTaskCount);
      missing += on(cell, cell::missingReplicas);
      breaches += on(cell, () -> cell.checker.breachCount());
    }
    progress.printf(
        "%5.0f s %-6s %6d workers %6d tasks running %5d replicas missing %d rules broken%n",
        elapsedS(), phase, workers, tasks, missing, breaches);
  }

  private void sample() throws IOException {
    for (ControllerProcess controller : controllers()) {
      mostMemoryMb.merge(controller, controller.memoryMb(), Math::max);
      if (!controller.isAlive() && !troubles.isDown(controller)) {
        endedByItself.merge(controller, 1, Integer::sum);
        controller.start();
      }
    }
  }

  // Figures.

  private List<Snapshot> snapshots() throws IOException, InterruptedException {
    double ownCpuS = ownCpuS();
    CpuTimes machine = CpuTimes.read();
    List<Snapshot> all = new ArrayList<>();
    for (EmulatedCell cell : cells) {
      double[] cpuS = cell.controllers().stream().mapToDouble(ControllerProcess::cpuS).toArray();
      all.add(new Snapshot(on(cell, () -> cell.counters.clone()), cpuS, nowMs(), ownCpuS, machine));
    }
    return all;
  }

  private static double ownCpuS() {
    var system = ManagementFactory.getOperatingSystemMXBean();
    return ((com.sun.management.OperatingSystemMXBean) system).getProcessCpuTime() / 1e9;
  }

  private void endPhase(String name) throws IOException, InterruptedException {
    List<Snapshot> now = snapshots();
    for (int i = 0; i < cells.size(); i++) {
      phases.add(phase(name, cells.get(i), phaseBegan.get(i), now.get(i)));
    }
    phaseBegan = now;
  }

  private LoadTestReport.Phase phase(String name, EmulatedCell cell, Snapshot from, Snapshot to)
      throws InterruptedException {
    double seconds = (to.atMs - from.atMs) / 1000.0;
    int leader = on(cell, cell::leader);
    double followers = 0;
    for (int i = 0; i < to.cpuS.length; i++) {
      followers += i == leader ? 0 : to.cpuS[i] - from.cpuS[i];
    }
    return new LoadTestReport.Phase(
        name,
        cell.number,
        seconds,
        on(cell, cell::workerCount),
        on(cell, cell::runningTaskCount),
        on(cell, cell::liveJobCount),
        on(cell, cell::stateKeyCount),
        (to.cpuS[leader] - from.cpuS[leader]) / seconds,
        followers / Math.max(1, to.cpuS.length - 1) / seconds,
        mostMemoryMb.getOrDefault(cell.controllers().get(leader), 0.0),
        (to.ownCpuS - from.ownCpuS) / seconds,
        to.machine.idleShareSince(from.machine),
        to.counters.minus(from.counters));
  }

  private LoadTestReport report() throws InterruptedException {
    List<LoadTestReport.Latency> latencies =
        List.of(
            LoadTestReport.Latency.of("start, during the ramp", all(cell -> cell.rampStartMs)),
            LoadTestReport.Latency.of("start, after the ramp", all(cell -> cell.startMs)),
            LoadTestReport.Latency.of("start of urgent work", all(cell -> cell.urgentStartMs)),
            LoadTestReport.Latency.of("submission accepted", all(cell -> cell.acceptMs)));
    Histogram lag = all(cell -> cell.lagMs);
    List<RecoveryTimer.Result> recoveries = new ArrayList<>();
    List<InvariantChecker.Breach> breaches = new ArrayList<>();
    long breachCount = 0;
    for (EmulatedCell cell : cells) {
      recoveries.addAll(
          on(cell, () -> cell.recoveries.stream().map(RecoveryTimer::result).toList()));
      breaches.addAll(on(cell, () -> cell.checker.breaches()));
      breachCount += on(cell, () -> cell.checker.breachCount());
    }
    List<LoadTestReport.ProcessFigures> processes =
        controllers().stream()
            .map(
                it ->
                    new LoadTestReport.ProcessFigures(
                        it.name(),
                        it.cpuS(),
                        mostMemoryMb.getOrDefault(it, 0.0),
                        endedByItself.getOrDefault(it, 0)))
            .toList();
    return new LoadTestReport(
        file,
        settings,
        Runtime.getRuntime().availableProcessors(),
        phases,
        latencies,
        recoveries,
        processes,
        lag.getValueAtPercentile(99),
        lag.getMaxValue(),
        breachCount,
        breaches);
  }

  private Histogram all(java.util.function.Function<EmulatedCell, Histogram> of)
      throws InterruptedException {
    Histogram sum = null;
    for (EmulatedCell cell : cells) {
      Histogram copy = on(cell, () -> of.apply(cell).copy());
      if (sum == null) {
        sum = copy;
      } else {
        sum.add(copy);
      }
    }
    return sum;
  }
}
