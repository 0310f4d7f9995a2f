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
  /** The kernel counts processor time in hundredths of a second. */
  private static final double TICKS_PER_S = 100;

  /** Where a process's user time stands behind the name in its line of figures. */
  private static final int USER_TICKS = 11;

  private final String name;
  private final String zone;
  private final Endpoint publicAddress;
  private final Path settings;
  private final Path log;
  private final List<String> command;
  private Process process;

  /** The load test is ending; nothing is started any more. */
  private boolean closed;

  private double pastCpuS;
  private double lastCpuS;

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
    pastCpuS += lastCpuS;
    lastCpuS = 0;
    process =
        new ProcessBuilder(command)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.appendTo(new File(log.toString())))
            .start();
  }

  /** Ends the process for good: it counts neither as an unexpected exit nor is it restarted. */
  void close() throws InterruptedException {
    synchronized (this) {
      closed = true;
    }
    killAndWait();
  }

  /** Ends the process without notice. */
  synchronized void kill() {
    if (process != null) {
      cpuS();
      process.destroyForcibly();
    }
  }

  /** Ends the process and waits until it is gone. */
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
        long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[USER_TICKS + 1]);
        lastCpuS = ticks / TICKS_PER_S;
      } catch (IOException e) {
        // It ended in between; what was read last counts.
        return pastCpuS + lastCpuS;
      }
    }
    return pastCpuS + lastCpuS;
  }

  /** The resident memory of the process in megabytes; 0 where there is none. */
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
