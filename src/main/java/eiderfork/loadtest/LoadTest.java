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
        HostResourceLimits.rejectionReason(
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

  /** Ends every controller, also when the load test is interrupted. */
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
    startMs = nowMs();
    cells.forEach(EmulatedCell::startLoad);
    recorder.start();
    playPhases();
    return recorder.report(file, settings);
  }

  private static void awaitHealthy(ControllerProcess controller)
      throws IOException, InterruptedException {
    long untilMs = nowMs() + START_TIMEOUT_MS;
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
      Thread.sleep(SAMPLE_INTERVAL_MS / 5);
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
      Thread.sleep(SAMPLE_INTERVAL_MS);
      sample();
      faults.tick(elapsedS());
      if (progress != null && nowMs() - toldMs > PROGRESS_INTERVAL_MS) {
        toldMs = nowMs();
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
