package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.config.Settings;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineKind;
import eiderfork.model.MachineType;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.model.TaskId;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A simulated day of four teams: replicas of two teams in office hours and at peaks, for an hour
 * with replicas that are cancelled within a minute, arrays mostly at night, and gangs each hour.
 * Faults are leader crashes during reclaims, lost machines, store outages and zone partitions.
 */
final class QuotaDay {
  private static final String DESK = "desk";
  private static final String PRESS = "press";
  private static final String SCANS = "scans";
  private static final String TUNING = "tuning";

  private static final int HOUR_MS = 3_600_000;
  private static final int MINUTE_MS = 60_000;
  private static final int GPUS_PER_MACHINE = 4;
  private static final int MACHINES_PER_ZONE = 3;
  private static final double BOOT_S = 40;

  /** The time within which replicas have to start to count as in time. */
  private static final double START_OBJECTIVE_S = 15;

  /** The multiple of its run time within which batch work has to end to count as in time. */
  private static final double MAX_BATCH_DURATION_FACTOR = 3;

  private record Submitted(Job job, long submittedMs) {}

  final SimulatedCluster cluster;
  final GuaranteeChecker guaranteeChecker;
  private final Random random;
  private final long startedMs;
  private final long windowStartMs;
  private final long windowEndMs;
  private int lastJobNumber;

  private final Map<TaskId, Long> replicaWaitsMs = new LinkedHashMap<>();
  private final Map<String, Submitted> replicaJobs = new LinkedHashMap<>();
  private final List<Submitted> batchJobs = new ArrayList<>();
  private int batchInTime;
  private int batchEnded;
  private double idleGpuS;
  private double gpuS;
  private int pendingLeaderCrashes;

  /**
   * @param fromHour the hour of the day to begin at
   */
  QuotaDay(long seed, boolean lending, int fromHour, int hours) {
    cluster = new SimulatedCluster(seed, settings(lending));
    random = new Random(seed * 101);
    MachineType type =
        new MachineType(
            "g4",
            new Resources(32, GPUS_PER_MACHINE, 128),
            60,
            2,
            8,
            3,
            BOOT_S,
            ImmutableList.of("a", "b"));
    cluster.cloud.types = ImmutableList.of(type);
    cluster.cloud.bootMs = (long) (BOOT_S * 1000);
    cluster.cloud.defaultStock = 0;
    for (String zone : List.of("a", "b")) {
      cluster.cloud.stockByKind.put(new MachineKind("g4", zone, false), MACHINES_PER_ZONE);
    }
    startedMs = cluster.nowMs;
    windowStartMs = (long) fromHour * HOUR_MS;
    windowEndMs = windowStartMs + (long) hours * HOUR_MS;
    guaranteeChecker = new GuaranteeChecker(cluster);
    guaranteeChecker.expectDisruption(MINUTE_MS);
    cluster.progress.onStop = (worker, attempt) -> crashLeaderMidReclaim();
    schedulePermanentReplicas();
    scheduleDeskTraffic();
    schedulePressPeaks();
    schedulePressFlapping();
    scheduleScanArrays();
    scheduleTuningGangs();
    scheduleFaults();
    measureEverySecond();
  }

  static Settings settings(boolean lending) {
    ImmutableMap<String, Team> teams =
        ImmutableMap.of(
            DESK, new Team(DESK, 0, 0, 8, 12),
            PRESS, new Team(PRESS, 0, 0, 8, 0),
            SCANS, new Team(SCANS, 0, 0, 4, 0),
            TUNING, new Team(TUNING, 0, 0, 4, 0));
    return TestFixtures.withTeams(
        TestFixtures.withLending(TestFixtures.settings("roost-0"), lending), teams);
  }

  void run() {
    cluster.run((windowEndMs - windowStartMs) / 1000.0);
  }

  private void atTimeOfDay(long timeOfDayMs, Runnable action) {
    if (timeOfDayMs >= windowStartMs && timeOfDayMs < windowEndMs) {
      cluster.schedule(timeOfDayMs - windowStartMs, action);
    }
  }

  private Job job(
      JobKind kind,
      String team,
      Priority priority,
      int tasks,
      double runS,
      double checkpointIntervalS) {
    double saveDurationS = checkpointIntervalS > 0 ? Math.max(2, checkpointIntervalS / 30) : 0;
    Resources taskResources = new Resources(2, 1, 8);
    return QuotaCluster.job(
        ++lastJobNumber,
        kind,
        taskResources,
        tasks,
        runS,
        checkpointIntervalS,
        saveDurationS,
        team,
        priority);
  }

  private void scheduleReplicas(String team, int tasks, long startTimeOfDayMs, long durationMs) {
    atTimeOfDay(
        startTimeOfDayMs,
        () -> {
          Job job = job(JobKind.SERVICE, team, Priority.STANDARD, tasks, 0, 0);
          replicaJobs.put(job.uid(), new Submitted(job, cluster.nowMs));
          cluster.submit(job);
          cluster.schedule(
              durationMs,
              () -> {
                replicaJobs.remove(job.uid());
                cluster.cancel(job.uid());
              });
        });
  }

  private void submitBatch(
      JobKind kind, String team, int tasks, double runS, double checkpointIntervalS) {
    Job job = job(kind, team, Priority.STANDARD, tasks, runS, checkpointIntervalS);
    batchJobs.add(new Submitted(job, cluster.nowMs));
    cluster.submit(job);
  }

  /** Replicas of two teams that run all day. */
  private void schedulePermanentReplicas() {
    scheduleReplicas(DESK, 3, windowStartMs + 5000, 25L * HOUR_MS);
    scheduleReplicas(PRESS, 2, windowStartMs + 9000, 25L * HOUR_MS);
  }

  private void scheduleDeskTraffic() {
    for (long ms = 8L * HOUR_MS;
        ms < 19L * HOUR_MS;
        ms += 4 * MINUTE_MS + random.nextInt(6) * 60_000) {
      scheduleReplicas(
          DESK, 1 + random.nextInt(2), ms, (5 + random.nextInt(15)) * (long) MINUTE_MS);
    }
  }

  private void schedulePressPeaks() {
    for (int hour : new int[] {3, 7, 9, 11, 13, 16, 18, 21, 23}) {
      long ms = (long) hour * HOUR_MS + random.nextInt(40) * (long) MINUTE_MS;
      scheduleReplicas(
          PRESS, 4 + random.nextInt(3), ms, (4 + random.nextInt(20)) * (long) MINUTE_MS);
    }
  }

  /** Submits replicas every 75 s for an hour, each cancelled after 40 s. */
  private void schedulePressFlapping() {
    for (long ms = 14L * HOUR_MS; ms < 15L * HOUR_MS; ms += 75_000) {
      scheduleReplicas(PRESS, 5, ms, 40_000);
    }
  }

  /** Submits arrays all day, at twice the rate at night. */
  private void scheduleScanArrays() {
    for (int minute = 0; minute < 24 * 60; minute += 3) {
      boolean night = minute < 6 * 60 || minute >= 20 * 60;
      if (random.nextInt(night ? 2 : 4) == 0) {
        int tasks = 4 + random.nextInt(10);
        double runS = 120 + random.nextInt(240);
        atTimeOfDay(
            (long) minute * MINUTE_MS,
            () -> submitBatch(JobKind.ARRAY, SCANS, tasks, runS, random.nextInt(3) == 0 ? 0 : 60));
      }
    }
  }

  private void scheduleTuningGangs() {
    for (int hour = 0; hour < 24; hour++) {
      int tasks = hour % 3 == 0 ? 8 : 4;
      double runS = 1200 + random.nextInt(1200);
      atTimeOfDay(
          (long) hour * HOUR_MS + 10 * MINUTE_MS,
          () -> submitBatch(JobKind.GANG, TUNING, tasks, runS, 300));
    }
  }

  private void scheduleFaults() {
    for (int minute = 50; minute < 24 * 60; minute += 97) {
      atTimeOfDay((long) minute * MINUTE_MS, () -> pendingLeaderCrashes++);
    }
    for (int minute : new int[] {130, 410, 655, 850, 1110}) {
      atTimeOfDay((long) minute * MINUTE_MS, this::loseMachine);
    }
    for (int minute : new int[] {215, 820, 1270}) {
      atTimeOfDay((long) minute * MINUTE_MS, this::startStoreOutage);
    }
    for (int minute : new int[] {590, 875}) {
      atTimeOfDay((long) minute * MINUTE_MS, this::partitionZone);
    }
  }

  /** Crashes the leader soon after a preemption if a crash is pending. */
  private void crashLeaderMidReclaim() {
    if (pendingLeaderCrashes > 0 && cluster.leader() != null) {
      pendingLeaderCrashes--;
      guaranteeChecker.expectDisruption(6000);
      cluster.schedule(random.nextInt(3500), () -> crash(cluster.leader()));
    }
  }

  private void crash(String leader) {
    if (leader != null) {
      cluster.crashNode(leader, 3000);
    }
  }

  private void loseMachine() {
    cluster.workers().stream()
        .filter(worker -> !worker.taskIds().isEmpty())
        .findFirst()
        .ifPresent(
            worker -> {
              guaranteeChecker.expectDisruption((long) (2 * BOOT_S * 1000));
              cluster.failMachine(worker.machine.name());
            });
  }

  private void startStoreOutage() {
    guaranteeChecker.expectDisruption(45_000);
    cluster.store.startOutage(cluster.nowMs);
    cluster.schedule(45_000, () -> cluster.store.endOutage(cluster.nowMs));
  }

  private void partitionZone() {
    guaranteeChecker.expectDisruption(60_000 + (long) (2 * BOOT_S * 1000));
    cluster.isolateZone("b", "roost-2", 60_000);
  }

  private void measureEverySecond() {
    double usedGpus = 0;
    for (String team : cluster.settings.teams().keySet()) {
      usedGpus += cluster.checker.usedResources(team).gpus();
    }
    int gpus = cluster.workers().size() * GPUS_PER_MACHINE;
    gpuS += gpus;
    idleGpuS += Math.max(0, gpus - usedGpus);
    measureReplicaStarts();
    batchJobs.removeIf(this::isOver);
    cluster.schedule(1000, this::measureEverySecond);
  }

  private void measureReplicaStarts() {
    for (Submitted submission : replicaJobs.values()) {
      long running = cluster.checker.runningTasks(submission.job.uid());
      for (int index = 0; index < submission.job.tasks(); index++) {
        TaskId id = new TaskId(submission.job.uid(), index);
        if (running == submission.job.tasks()) {
          replicaWaitsMs.putIfAbsent(id, cluster.nowMs - submission.submittedMs);
        } else if (cluster.nowMs - submission.submittedMs > START_OBJECTIVE_S * 1000) {
          replicaWaitsMs.putIfAbsent(id, Long.MAX_VALUE);
        }
      }
    }
  }

  private boolean isOver(Submitted submission) {
    double ranS = (cluster.nowMs - submission.submittedMs) / 1000.0;
    boolean done = cluster.checker.allTasksCompleted(submission.job.uid());
    boolean late = ranS > MAX_BATCH_DURATION_FACTOR * submission.job.estimatedRunS();
    if (done || late) {
      batchEnded++;
      batchInTime += late ? 0 : 1;
    }
    return done || late;
  }

  /** Returns the figures of the day as a line of CSV. */
  String summary() {
    long inTime =
        replicaWaitsMs.values().stream().filter(ms -> ms <= START_OBJECTIVE_S * 1000).count();
    return "%.3f,%.3f,%.3f,%.0f,%d,%d,%d,%d,%d,%d"
        .formatted(
            batchInTime / (double) Math.max(1, batchEnded),
            idleGpuS / gpuS,
            inTime / (double) Math.max(1, replicaWaitsMs.size()),
            cluster.progress.lostWorkMs / 1000.0,
            cluster.progress.stopCount(),
            cluster.progress.maxStopsPerTask(),
            guaranteeChecker.minutes.stream().mapToLong(m -> m.secondsBelow > 0 ? 1 : 0).sum(),
            guaranteeChecker.unexplained.size(),
            guaranteeChecker.longestShortfallS.values().stream().mapToInt(s -> s).max().orElse(0),
            cluster.checker.violations.size());
  }

  static final String SUMMARY_HEADER =
      "batch_in_time,gpu_time_idle,replicas_started_in_15_s,array_work_lost_s,stops,most_stops_of_a_task,"
          + "team_minutes_below,unexplained_seconds,longest_below_s,rules_broken";
}
