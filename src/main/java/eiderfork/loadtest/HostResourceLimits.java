package eiderfork.loadtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Rejects load tests that would need too many processes or too much memory on this host. */
final class HostResourceLimits {
  /** Memory of a controller process: a base, and an amount per worker, in megabytes. */
  private static final double CONTROLLER_BASE_MB = 176;

  private static final double CONTROLLER_MB_PER_WORKER = 0.06;

  private static final int MAX_PROCESSES = 300;
  private static final double MAX_MEMORY_SHARE = 0.5;

  private HostResourceLimits() {}

  /**
   * Returns why the load test may not start on a machine with this much memory, or null if it may.
   *
   * @param workers the number of workers per cell
   */
  static String rejectionReason(int controllers, int workers, double ownMb, double machineMb) {
    if (controllers + 1 > MAX_PROCESSES) {
      return controllers + " controllers are more processes than " + MAX_PROCESSES;
    }
    double needMb = ownMb + controllers * controllerMb(workers);
    if (needMb > machineMb * MAX_MEMORY_SHARE) {
      return String.format(
          "%d controllers and the emulation may take %.0f MB, more than half of this machine's %.0f",
          controllers, needMb, machineMb);
    }
    return null;
  }

  /** The memory limit of a controller whose cell has this many workers, in megabytes. */
  static double controllerMb(int workers) {
    return CONTROLLER_BASE_MB + CONTROLLER_MB_PER_WORKER * workers;
  }

  /** The machine's memory in megabytes. */
  static double machineMb() throws IOException {
    String first = Files.readAllLines(Path.of("/proc/meminfo")).get(0);
    return Long.parseLong(first.replaceAll("[^0-9]", "")) / 1024.0;
  }
}
