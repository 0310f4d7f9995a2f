package eiderfork.loadtest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import eiderfork.config.InvalidSettingsException;
import java.io.IOException;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs a load test and produces its report. */
public final class LoadTest {
  private static final long SAMPLE_INTERVAL_MS = 500;
  private static final long PROGRESS_INTERVAL_MS = 5000;
  private static final long START_TIMEOUT_MS = 30_000;

  private final String file;
  private final LoadTestSettings settings;
  private final List<String> command;
  private final PrintStream progress;
  private final Path directory;
  private final List<EmulatedCell> cells = new ArrayList<>();
  private final LoadTestRecorder recorder = new LoadTestRecorder(cells);
  private final FaultInjector faults;
  private long startMs;

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
    faults = new FaultInjector(settings.troubles(), cells);
  }

  /**
   * Runs a load test.
   *
   * @param path the load test's settings file
   * @param deploy the deployment file with the command that starts a controller
   * @param logs the directory for the controllers' settings and logs; null for a temporary one
   * @param progress receives a progress line every few seconds; null for none
   * @return the report as text and as JSON, and whether the load test passed
   * @throws InvalidSettingsException if the file is invalid or needs too much of this machine
   * @throws IOException if a controller does not start
   */
  public static Outcome play(Path path, Path deploy, Path logs, PrintStream progress)
      throws InvalidSettingsException, IOException, InterruptedException {
    LoadTestSettings settings = LoadTestFile.read(path);
    double ownMb = Runtime.getRuntime().maxMemory() / 1024.0 / 1024.0;
    String rejectionReason =
        HostResourceLimits.rejectionReason(
            settings.controllerCount(),
            settings.cells().workers(),
            ownMb,
            HostResourceLimits.machineMb());
    if (rejectionReason != null) {
      throw new InvalidSettingsException(path.toString(), "cells", rejectionReason);
    }
    Path directory = logs == null ? Files.createTempDirectory("eiderfork-scale") : logs;
    Files.createDirectories(directory);
    LoadTest run = new LoadTest(path.toString(), settings, runCommand(deploy), directory, progress);
    Thread cleanUp = new Thread(() -> run.cleanUp(logs == null));
    Runtime.getRuntime().addShutdownHook(cleanUp);
    try {
      LoadTestReport report = run.execute();
      return new Outcome(report.toText(), report.toJson(), report.isGood());
    } finally {
      run.cleanUp(logs == null);
      Runtime.getRuntime().removeShutdownHook(cleanUp);
      run.cells.forEach(EmulatedCell::close);
    }
  }

  /** The report, and whether no invariant was violated and no process exited unexpectedly. */
  public record Outcome(String text, String json, boolean good) {}

  private static List<String> runCommand(Path deploy) throws InvalidSettingsException, IOException {
    JsonNode run = new TomlMapper().readTree(Files.readString(deploy)).path("run");
    if (!run.isTextual()) {
      throw new InvalidSettingsException(deploy.toString(), "run", "missing");
    }
    return List.of(run.textValue().trim().split(" +"));
  }

  /** Kills every controller; also runs as a shutdown hook when the load test is interrupted. */
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
      System.err.println("eiderfork: " + directory + " could not be removed: " + e.getMessage());
    }
  }

  private void killAll() {
    for (EmulatedCell cell : cells) {
      for (ControllerProcess controller : cell.controllers()) {
        try {
          controller.close();
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

  private LoadTestReport execute() throws IOException, InterruptedException {
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
    startMs = nowMs();
    cells.forEach(EmulatedCell::startLoad);
    recorder.start();
    runPhases();
    return recorder.report(file, settings);
  }

  private static void awaitHealthy(ControllerProcess controller)
      throws IOException, InterruptedException {
    long deadlineMs = nowMs() + START_TIMEOUT_MS;
    while (nowMs() < deadlineMs) {
      if (!controller.isAlive()) {
        throw new IOException(controller.name() + " exited during startup");
      }
      try {
        URI health = URI.create("http://" + controller.publicAddress() + "/healthz");
        HttpURLConnection connection = (HttpURLConnection) health.toURL().openConnection();
        if (connection.getResponseCode() == HttpURLConnection.HTTP_OK) {
          return;
        }
      } catch (IOException e) {
        // The controller is not listening yet.
      }
      Thread.sleep(SAMPLE_INTERVAL_MS / 5);
    }
    throw new IOException(controller.name() + " did not become healthy in time");
  }

  private void runPhases() throws IOException, InterruptedException {
    LoadTestSettings.Phases phases = settings.phases();
    runPhaseUntil("ramp", phases.rampS());
    runPhaseUntil("steady", phases.peakAtS());
    runPhaseUntil("peak", phases.peakAtS() + phases.peakS());
    runPhaseUntil("after", settings.runS());
  }

  private void runPhaseUntil(String phase, double endS) throws IOException, InterruptedException {
    double untilS = Math.min(endS, settings.runS());
    if (elapsedS() >= untilS) {
      return;
    }
    long lastProgressMs = 0;
    while (elapsedS() < untilS) {
      Thread.sleep(SAMPLE_INTERVAL_MS);
      sample();
      faults.tick(elapsedS());
      if (progress != null && nowMs() - lastProgressMs > PROGRESS_INTERVAL_MS) {
        lastProgressMs = nowMs();
        printProgress(phase);
      }
    }
    recorder.endPhase(phase);
  }

  private double elapsedS() {
    return (nowMs() - startMs) / 1000.0;
  }

  private void printProgress(String phase) throws InterruptedException {
    int workers = 0;
    int tasks = 0;
    int missing = 0;
    long breaches = 0;
    for (EmulatedCell cell : cells) {
      workers += cell.call(cell::workerCount);
      tasks += cell.call(cell::runningTaskCount);
      missing += cell.call(cell::missingReplicas);
      breaches += cell.call(() -> cell.checker.breachCount());
    }
    progress.printf(
        "%5.0f s %-6s %6d workers %6d tasks running %5d replicas missing %d rules broken%n",
        elapsedS(), phase, workers, tasks, missing, breaches);
  }

  private void sample() throws IOException {
    for (ControllerProcess controller : controllers()) {
      recorder.recordMemory(controller);
      if (!controller.isAlive() && !faults.isDown(controller)) {
        recorder.recordUnexpectedExit(controller);
        controller.start();
      }
    }
  }
}
