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
import eiderfork.model.TaskStatus;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.List;

/**
 * A simulated cluster of three controllers and four machines with four GPUs each, and no more
 * machines in the cloud, for tests in which batch work of one team borrows the guarantee of others.
 */
final class QuotaCluster {
  static final String DESK = "desk";
  static final String NIGHT = "night";
  static final String LAB = "lab";
  static final double DESK_GPUS = 8;
  static final double NIGHT_GPUS = 4;
  static final double LAB_GPUS = 4;
  static final int MACHINES = 4;

  /** The time within which a team gets its guarantee back if there is no failure. */
  static final double RECLAIM_S = 8;

  final SimulatedCluster cluster;
  final GuaranteeChecker guaranteeChecker;
  final List<Job> jobs = new ArrayList<>();

  private QuotaCluster(SimulatedCluster cluster) {
    this.cluster = cluster;
    cluster.cloud.types = cluster.cloud.types.subList(0, 1);
    cluster.cloud.defaultStock = 0;
    cluster.cloud.stockByKind.put(new MachineKind("g4", "a", false), MACHINES);
    guaranteeChecker = new GuaranteeChecker(cluster);
  }

  static QuotaCluster withBorrowing(long seed) {
    return new QuotaCluster(new SimulatedCluster(seed, settings(true)));
  }

  /** With this boot time of the machine type, which is also the first reclaim cooldown. */
  static QuotaCluster withBorrowing(long seed, double bootS) {
    QuotaCluster scenario = withBorrowing(seed);
    MachineType g4 = scenario.cluster.cloud.types.get(0);
    scenario.cluster.cloud.types =
        ImmutableList.of(
            new MachineType(
                g4.name(),
                g4.capacity(),
                g4.imageCacheGb(),
                g4.imageFetchGbPerS(),
                g4.hourlyPrice(),
                g4.spotHourlyPrice(),
                bootS,
                g4.zones()));
    return scenario;
  }

  static QuotaCluster withoutBorrowing(long seed) {
    return new QuotaCluster(new SimulatedCluster(seed, settings(false)));
  }

  static Settings settings(boolean lending) {
    ImmutableMap<String, Team> teams =
        ImmutableMap.of(
            DESK, new Team(DESK, 0, 0, DESK_GPUS, 12),
            NIGHT, new Team(NIGHT, 0, 0, NIGHT_GPUS, 0),
            LAB, new Team(LAB, 0, 0, LAB_GPUS, 0));
    return TestFixtures.withTeams(
        TestFixtures.withLending(TestFixtures.settings("roost-0"), lending), teams);
  }

  /** Returns an array with checkpoints at this interval and saves of 2 s; 0 for no checkpoints. */
  static Job array(int number, int tasks, double runS, double checkpointIntervalS, String team) {
    return job(number, JobKind.ARRAY, tasks, runS, checkpointIntervalS, team, Priority.HIGH);
  }

  /** Returns replicas of the lowest priority, which preempt others only by their guarantee. */
  static Job replicas(int number, int tasks, String team) {
    return job(number, JobKind.SERVICE, tasks, 0, 0, team, Priority.LOW);
  }

  static Job gang(int number, int tasks, double runS, double checkpointIntervalS, String team) {
    return job(number, JobKind.GANG, tasks, runS, checkpointIntervalS, team, Priority.HIGH);
  }

  static Job job(
      int number,
      JobKind kind,
      int tasks,
      double runS,
      double checkpointIntervalS,
      String team,
      Priority priority) {
    double saveDurationS = checkpointIntervalS > 0 ? 2 : 0;
    Resources taskResources = new Resources(1, 1, 4);
    return job(
        number,
        kind,
        taskResources,
        tasks,
        runS,
        checkpointIntervalS,
        saveDurationS,
        team,
        priority);
  }

  static Job job(
      int number,
      JobKind kind,
      Resources taskResources,
      int tasks,
      double runS,
      double checkpointIntervalS,
      double saveDurationS,
      String team,
      Priority priority) {
    return new Job(
        "run-%06d".formatted(number),
        kind == JobKind.SERVICE ? "web" : "batch",
        team,
        kind,
        priority,
        tasks,
        taskResources,
        null,
        null,
        false,
        false,
        false,
        team + "-img-" + kind,
        1,
        runS,
        checkpointIntervalS,
        saveDurationS,
        null);
  }

  Job submit(Job job) {
    jobs.add(job);
    cluster.submit(job);
    return job;
  }

  /** Runs an array of the night team on all 16 GPUs, 12 of them borrowed. */
  Job fillWithNightArray(double runS, double checkpointIntervalS) {
    Job night = submit(array(1, 16, runS, checkpointIntervalS, NIGHT));
    cluster.run(25);
    if (cluster.checker.runningTasks(night.uid()) != 16) {
      throw new IllegalStateException("the array does not fill the machines");
    }
    return night;
  }

  long runningTasks(Job job) {
    return cluster.checker.runningTasks(job.uid());
  }

  /** Returns the workers on which a task of the job is in this state. */
  List<FakeWorker> workersWith(Job job, TaskStatus.State state) {
    return cluster.workers().stream()
        .filter(
            worker ->
                worker.tasks().stream()
                    .anyMatch(
                        task ->
                            task.state == state && task.attempt.task().jobUid().equals(job.uid())))
        .toList();
  }

  /** Returns the leader, or the first node if there is none. */
  String leader() {
    return cluster.leader() == null ? "roost-0" : cluster.leader();
  }
}
