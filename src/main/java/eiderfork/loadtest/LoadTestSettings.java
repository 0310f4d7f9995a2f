package eiderfork.loadtest;

import java.util.List;

/**
 * What a scale run is made of; read from a TOML file by {@link LoadTestFile}. Times are in seconds.
 *
 * @param seed of all random numbers of the emulation
 * @param runS how long load is offered, all troubles included
 * @param cells the regions, each with its own controllers, store, cloud and users
 * @param preloadedEndedJobs jobs per cell that the store holds as done from the start
 * @param preloadedArchivedJobs further ones that are archived already
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

  /** How many cells there are, and what each of them is made of; teams are in all of them. */
  public record Cells(
      int count, int zones, int racksPerZone, int controllers, int workers, int teams) {}

  /** The workers' intervals, as in the platform's settings. */
  public record Workers(double reportS, double leaseS, double cancelS) {}

  /** The limits of a cell's store, and the mean delay of its responses in milliseconds. */
  public record StoreLimits(
      double rps, double writeRps, double valueKb, int txnOps, double answerMs) {}

  /** A cell's cloud. */
  public record CloudLimits(double rps, double listLagS) {}

  /**
   * When the load changes.
   *
   * @param rampS in this time the classes' first jobs are submitted
   * @param peakAtS when the peak begins, counted from the start
   * @param peakS how long the peak lasts
   */
  public record Phases(double rampS, double peakAtS, double peakS) {}

  /**
   * What users do beside submitting.
   *
   * @param pollS how often a user asks after a job that is not over
   * @param lateQuestionsPerS questions a second and cell after jobs that are over
   */
  public record Users(double pollS, double lateQuestionsPerS) {}

  /**
   * A machine type.
   *
   * @param share the part of the cell's workers that the cloud has of this type
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
   * @param runS how long an array's task runs, or a service stands until it is cancelled; 0 for the
   *     whole run
   * @param urgent whether its start times are recorded apart
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
   * A failure.
   *
   * @param kind {@code leader}: the leader's process is killed; {@code rack}, {@code third}, {@code
   *     workers}: the workers of a rack, of every third rack, or all of them are partitioned;
   *     {@code zone}: a zone's machines are gone and its controllers down; {@code controllers}: all
   *     controllers of the cell are killed
   * @param cell the cell's number from 0
   * @param forS how long workers are cut off, or a zone down; killed controllers come back after it
   */
  public record Fault(String kind, double atS, int cell, double forS) {}

  /** How many controller processes the run starts. */
  public int controllerCount() {
    return cells.count() * cells.controllers();
  }
}
