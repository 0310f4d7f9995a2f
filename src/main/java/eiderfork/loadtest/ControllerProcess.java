package eiderfork.loadtest;

import eiderfork.config.Settings.Endpoint;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A real controller in a process of its own, which can be killed and restarted. */
final class ControllerProcess {
  /** Ticks per second in which the kernel reports processor time. */
  private static final double TICKS_PER_S = 100;

  /** Index of the user time in {@code /proc/PID/stat}, counted after the process name. */
  private static final int USER_TICKS_FIELD = 11;

  private final String name;
  private final String zone;
  private final Endpoint publicAddress;
  private final Path settings;
  private final Path log;
  private final List<String> command;
  private Process process;

  /** True once the load test is ending; the process is not started again. */
  private boolean closed;

  private double endedProcessesCpuS;
  private double currentProcessCpuS;

  ControllerProcess(
      String name,
      String zone,
      Endpoint publicAddress,
      Path directory,
      List<String> command,
      String settingsText)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.publicAddress = publicAddress;
    settings = directory.resolve(name + ".toml");
    log = directory.resolve(name + ".log");
    Files.writeString(settings, settingsText);
    this.command = new ArrayList<>(command);
    this.command.add(settings.toString());
  }

  String name() {
    return name;
  }

  String zone() {
    return zone;
  }

  Endpoint publicAddress() {
    return publicAddress;
  }

  synchronized void start() throws IOException {
    if (closed || process != null && process.isAlive()) {
      return;
    }
    endedProcessesCpuS += currentProcessCpuS;
    currentProcessCpuS = 0;
    process =
        new ProcessBuilder(command)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.appendTo(new File(log.toString())))
            .start();
  }

  /** Kills the process permanently: it is not restarted, nor counted as an unexpected exit. */
  void close() throws InterruptedException {
    synchronized (this) {
      closed = true;
    }
    killAndWait();
  }

  /** Kills the process forcibly. */
  synchronized void kill() {
    if (process != null) {
      cpuS();
      process.destroyForcibly();
    }
  }

  /** Kills the process and waits for its exit. */
  private void killAndWait() throws InterruptedException {
    kill();
    Process ended;
    synchronized (this) {
      ended = process;
    }
    if (ended != null) {
      ended.waitFor();
    }
  }

  synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** The processor time that all processes of this controller have used, in seconds. */
  synchronized double cpuS() {
    if (isAlive()) {
      try {
        String line = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ");
        long ticks =
            Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[USER_TICKS_FIELD + 1]);
        currentProcessCpuS = ticks / TICKS_PER_S;
      } catch (IOException e) {
        // The process exited in the meantime; use the last reading.
        return endedProcessesCpuS + currentProcessCpuS;
      }
    }
    return endedProcessesCpuS + currentProcessCpuS;
  }

  /** The resident memory of the process in megabytes; 0 if it is not running. */
  synchronized double memoryMb() {
    if (!isAlive()) {
      return 0;
    }
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
        }
      }
    } catch (IOException e) {
      return 0;
    }
    return 0;
  }
}
