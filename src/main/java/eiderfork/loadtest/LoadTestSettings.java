package eiderfork.loadtest;

import java.util.List;

/**
 * Settings of a load test, read from a TOML file by {@link LoadTestFile}. Times are in seconds.
 *
 * @param seed the seed of the emulation's random numbers
 * @param runS the duration of the load, including all faults
 * @param cells the regions, each with its own controllers, store, cloud and users
 * @param preloadedEndedJobs jobs per cell that the store holds as done from the start
 * @param preloadedArchivedJobs further jobs per cell that the store holds as archived
 */
public record LoadTestSettings(
    long seed,
    double runS,
    Cells cells,
    int preloadedEndedJobs,
    int preloadedArchivedJobs,
    Workers workers,
    StoreLimits state,
    CloudLimits cloud,
    Phases phases,
    Users users,
    List<MachineKind> machineTypes,
    List<JobClass> classes,
    List<Fault> troubles) {

  /** The number of cells and the size of each; every cell has all teams. */
  public record Cells(
      int count, int zones, int racksPerZone, int controllers, int workers, int teams) {}

  /** The workers' intervals, as in the platform's settings. */
  public record Workers(double reportS, double leaseS, double cancelS) {}

  /** The limits of a cell's store, and the mean delay of its responses in milliseconds. */
  public record StoreLimits(
      double rps, double writeRps, double valueKb, int txnOps, double answerMs) {}

  /** The limits of a cell's cloud API. */
  public record CloudLimits(double rps, double listLagS) {}

  /**
   * The times at which the load changes.
   *
   * @param rampS the time over which each class's first jobs are submitted
   * @param peakAtS the start of the peak, counted from the start of the load
   * @param peakS the duration of the peak
   */
  public record Phases(double rampS, double peakAtS, double peakS) {}

  /**
   * The queries that users send.
   *
   * @param pollS the mean interval at which a user queries an unfinished job
   * @param lateQuestionsPerS queries of finished jobs per second and cell
   */
  public record Users(double pollS, double lateQuestionsPerS) {}

  /**
   * A machine type.
   *
   * @param share the cloud's capacity of this type, as a share of the cell's workers
   */
  public record MachineKind(
      String name,
      double cpus,
      double gpus,
      double ramGb,
      double cacheGb,
      double fetchGbPerS,
      double price,
      double bootS,
      double share) {}

  /**
   * A class of jobs of each cell.
   *
   * @param kind {@code service} or {@code array}
   * @param first jobs submitted during the ramp
   * @param perS jobs a second after the ramp
   * @param peakPerS further jobs a second during the peak
   * @param runS the run time of an array's task, or of a service until it is cancelled; 0 for the
   *     whole run
   * @param urgent true if its start times are recorded separately
   */
  public record JobClass(
      String name,
      String kind,
      String priority,
      int tasks,
      double cpus,
      double gpus,
      double ramGb,
      int images,
      double imageGb,
      int first,
      double perS,
      double peakPerS,
      double runS,
      boolean urgent) {}

  /**
   * A fault to inject.
   *
   * @param kind {@code leader}: the leader's process is killed; {@code rack}, {@code third}, {@code
   *     workers}: the workers of a rack, of every third rack, or all of them are partitioned;
   *     {@code zone}: a zone's machines are stopped and its controllers killed; {@code
   *     controllers}: all controllers of the cell are killed
   * @param cell the cell's number from 0
   * @param forS the duration of the partition or zone outage; killed controllers are restarted
   *     after it
   */
  public record Fault(String kind, double atS, int cell, double forS) {}

  /** The number of controller processes that the load test starts. */
  public int controllerCount() {
    return cells.count() * cells.controllers();
  }
}
