package eiderfork.loadtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Refuses runs that would take more of this machine than they may. */
final class HostResourceLimits {
  /** What a controller's process may come to in a small cell, and for each worker, in megabytes. */
  private static final double SMALL_CONTROLLER_MB = 176;

  private static final double WORKER_MB = 0.06;

  private static final int MOST_PROCESSES = 300;
  private static final double MOST_MEMORY_SHARE = 0.5;

  private HostResourceLimits() {}

  /**
   * Why the run may not start on a machine with that much memory; null where it may.
   *
   * @param workers of each cell
   */
  static String objection(int controllers, int workers, double ownMb, double machineMb) {
    if (controllers + 1 > MOST_PROCESSES) {
      return controllers + " controllers are more processes than " + MOST_PROCESSES;
    }
    double needMb = ownMb + controllers * controllerMb(workers);
    if (needMb > machineMb * MOST_MEMORY_SHARE) {
      return String.format(
          "%d controllers and the emulation may take %.0f MB, more than half of this machine's %.0f",
          controllers, needMb, machineMb);
    }
    return null;
  }

  /** What a controller of a cell with so many workers is given, in megabytes. */
  static double controllerMb(int workers) {
    return SMALL_CONTROLLER_MB + WORKER_MB * workers;
  }

  /** The machine's memory in megabytes. */
  static double machineMb() throws IOException {
    String first = Files.readAllLines(Path.of("/proc/meminfo")).get(0);
    return Long.parseLong(first.replaceAll("[^0-9]", "")) / 1024.0;
  }
}
