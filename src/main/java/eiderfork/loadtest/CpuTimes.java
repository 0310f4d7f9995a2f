package eiderfork.loadtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The machine's cumulative processor times, in kernel ticks. */
record CpuTimes(long idle, long all) {
  /** Index of the idle time in the first line of {@code /proc/stat}. */
  private static final int IDLE_FIELD = 4;

  static CpuTimes read() throws IOException {
    String[] fields = Files.readAllLines(Path.of("/proc/stat")).get(0).split(" +");
    long all = 0;
    for (int i = 1; i < fields.length; i++) {
      all += Long.parseLong(fields[i]);
    }
    return new CpuTimes(Long.parseLong(fields[IDLE_FIELD]), all);
  }

  double idleShareSince(CpuTimes before) {
    return all == before.all ? 1 : (double) (idle - before.idle) / (all - before.all);
  }
}
