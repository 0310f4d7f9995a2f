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
 * Three controllers and four machines of four GPUs, without more to request from the cloud; batch
 * work of one team borrows what another is guaranteed.
 */
final class QuotaCluster {
  static final String DESK = "desk";
  static final String NIGHT = "night";
  static final String LAB = "lab";
  static final double DESK_GPUS = 8;
  static final double NIGHT_GPUS = 4;
  static final double LAB_GPUS = 4;
  static final int MACHINES = 4;

  /** Within this time a team has its guarantee back where there is no failure. */
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

  /** The same with this boot time of the machine type, which is the first cooldown. */
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

  /** An array with a checkpoint each {@code checkpointS}, and saves of 2 s; 0 for none. */
  static Job array(int number, int tasks, double runS, double checkpointS, String team) {
    return job(number, JobKind.ARRAY, tasks, runS, checkpointS, team, Priority.HIGH);
  }

  /** Replicas of the lowest priority, for which only the guarantee preempts others. */
  static Job replicas(int number, int tasks, String team) {
    return job(number, JobKind.SERVICE, tasks, 0, 0, team, Priority.LOW);
  }

  static Job gang(int number, int tasks, double runS, double checkpointS, String team) {
    return job(number, JobKind.GANG, tasks, runS, checkpointS, team, Priority.HIGH);
  }

  static Job job(
      int number,
      JobKind kind,
      int tasks,
      double runS,
      double checkpointS,
      String team,
      Priority priority) {
    double saveS = checkpointS > 0 ? 2 : 0;
    Resources demand = new Resources(1, 1, 4);
    return job(number, kind, demand, tasks, runS, checkpointS, saveS, team, priority);
  }

  static Job job(
      int number,
      JobKind kind,
      Resources demand,
      int tasks,
      double runS,
      double checkpointS,
      double saveS,
      String team,
      Priority priority) {
    return new Job(
        "run-%06d".formatted(number),
        kind == JobKind.SERVICE ? "web" : "batch",
        team,
        kind,
        priority,
        tasks,
        demand,
        null,
        null,
        false,
        false,
        false,
        team + "-img-" + kind,
        1,
        runS,
        checkpointS,
        saveS,
        null);
  }

  Job submit(Job job) {
    jobs.add(job);
    cluster.submit(job);
    return job;
  }

  /** Runs an array of the night team on all machines, of which it borrows three quarters. */
  Job fillWithNightArray(double runS, double checkpointS) {
    Job night = submit(array(1, 16, runS, checkpointS, NIGHT));
    cluster.run(25);
    if (cluster.checker.runningTasks(night.uid()) != 16) {
      throw new IllegalStateException("the array does not fill the machines");
    }
    return night;
  }

  long runningTasks(Job job) {
    return cluster.checker.runningTasks(job.uid());
  }

  /** The workers on which a task of the job is in this state. */
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

  /** The leader, or any node where there is none. */
  String leader() {
    return cluster.leader() == null ? "roost-0" : cluster.leader();
  }
}
