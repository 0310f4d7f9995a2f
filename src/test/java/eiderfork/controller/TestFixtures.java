package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import eiderfork.config.OperatorSettings;
import eiderfork.config.Settings;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.registry.FailureHistory;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.PlacementProfile;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.model.Team;

/** Settings and jobs shared by tests. */
public final class TestFixtures {
  /** The timings of small deployments. */
  static final Settings.WorkerTimings SHORT_LEASES = new Settings.WorkerTimings(1, 10, 30);

  /** The timings of fleets with many machines. */
  static final Settings.WorkerTimings LONG_LEASES = new Settings.WorkerTimings(4, 22, 42);

  private TestFixtures() {}

  /** Returns the zone of a node: "a" for up to three nodes, else "a" and "b" alternate. */
  static String zone(int node, int nodeCount) {
    return nodeCount > 3 && node % 2 == 1 ? "b" : "a";
  }

  /** Returns settings with {@link #LONG_LEASES}. */
  static Settings longLeaseSettings() {
    return settings("roost-0", LONG_LEASES, new Settings.StoreLimits(200, 40, 4, 16), 0.2, 160, 3);
  }

  /** Returns settings of one of three controllers, with a heartbeat each second. */
  public static Settings settings(String node) {
    return settings(node, 3);
  }

  /** Returns settings of one of this number of controllers, with a heartbeat each second. */
  static Settings settings(String node, int nodeCount) {
    return settings(
        node, SHORT_LEASES, new Settings.StoreLimits(200, 40, 8, 16), 0.2, 160, nodeCount);
  }

  static Settings settings(
      String node,
      Settings.WorkerTimings workerTimings,
      Settings.StoreLimits storeLimits,
      double cpuShare,
      int sockets,
      int nodeCount) {
    ImmutableMap.Builder<String, Settings.Endpoint> peers = ImmutableMap.builder();
    ImmutableMap.Builder<String, String> peerZones = ImmutableMap.builder();
    for (int i = 0; i < nodeCount; i++) {
      if (!node.equals("roost-" + i)) {
        peers.put("roost-" + i, new Settings.Endpoint("10.0.0." + (i + 1), 8081));
        peerZones.put("roost-" + i, zone(i, nodeCount));
      }
    }
    return new Settings(
        node,
        zone(node.charAt(node.length() - 1) - '0', nodeCount),
        new Settings.Endpoint("10.0.0.1", 8080),
        new Settings.Endpoint("10.0.0.1", 8081),
        peers.build(),
        peerZones.build(),
        new Settings.Endpoint("10.2.0.2", 8443),
        new Settings.Endpoint("10.2.0.1", 2379),
        ImmutableMap.of("red", new Team("red", 0, 0, 4, 10), "blue", new Team("blue", 0, 0, 0, 0)),
        ImmutableList.of(
            new Settings.Objective(Settings.Objective.Kind.WAIT, "web", 5, 1, 0.9),
            new Settings.Objective(Settings.Objective.Kind.FINISHED, "batch", 40, 1, 0.9)),
        workerTimings,
        storeLimits,
        storeLimits,
        new Settings.CloudLimits(2, 4),
        new Settings.ControllerResources(cpuShare, sockets, 148),
        OperatorSettings.DEFAULTS);
  }

  /** Returns the same settings with these announced limits of the store. */
  static Settings withNextLimits(Settings base, Settings.StoreLimits nextLimits) {
    return copy(
        base, base.teams(), base.objectives(), nextLimits, base.cloudLimits(), base.operator());
  }

  /** Returns the same settings with these operator settings. */
  static Settings withOperator(Settings base, OperatorSettings operator) {
    return copy(
        base,
        base.teams(),
        base.objectives(),
        base.nextStoreLimits(),
        base.cloudLimits(),
        operator);
  }

  /** Returns settings that archive jobs this long after their end. */
  public static Settings archivingSettings(double retentionS) {
    return archivingSettings(retentionS, OperatorSettings.DEFAULTS.maxEndedJobs());
  }

  /** Returns settings that archive jobs this long after their end, or beyond this number. */
  public static Settings archivingSettings(double retentionS, int maxEndedJobs) {
    OperatorSettings defaults = OperatorSettings.DEFAULTS;
    return withOperator(
        settings("roost-0"),
        operator(retentionS, maxEndedJobs, defaults.standbyCount(), defaults.isLendingEnabled()));
  }

  /** Returns the same settings with this number of standbys. */
  static Settings withStandbys(Settings base, int standbyCount) {
    OperatorSettings current = base.operator();
    return withOperator(
        base,
        operator(
            current.endedJobRetentionS(),
            current.maxEndedJobs(),
            standbyCount,
            current.isLendingEnabled()));
  }

  /** Returns the same settings with or without quota borrowing. */
  static Settings withLending(Settings base, boolean lending) {
    OperatorSettings current = base.operator();
    return withOperator(
        base,
        operator(
            current.endedJobRetentionS(), current.maxEndedJobs(), current.standbyCount(), lending));
  }

  private static OperatorSettings operator(
      double endedJobRetentionS, int maxEndedJobs, int standbyCount, boolean lending) {
    OperatorSettings defaults = OperatorSettings.DEFAULTS;
    return new OperatorSettings(
        defaults.updateWindowShare(),
        defaults.leaderLeaseShare(),
        defaults.headroomDeviations(),
        defaults.idleBootShare(),
        defaults.isSpotAllowed(),
        endedJobRetentionS,
        maxEndedJobs,
        standbyCount,
        lending,
        defaults.loanCooldownBoots(),
        defaults.traceFile());
  }

  /** Returns the same settings with these teams. */
  static Settings withTeams(Settings base, ImmutableMap<String, Team> teams) {
    return copy(
        base,
        teams,
        base.objectives(),
        base.nextStoreLimits(),
        base.cloudLimits(),
        base.operator());
  }

  /** Returns the same settings with this rate limit of the cloud. */
  static Settings withCloudRate(Settings base, double requestsPerS) {
    Settings.CloudLimits cloud =
        new Settings.CloudLimits(requestsPerS, base.cloudLimits().listLagS());
    return copy(
        base, base.teams(), base.objectives(), base.nextStoreLimits(), cloud, base.operator());
  }

  /** Returns the same settings with these service-level objectives. */
  public static Settings withObjectives(
      Settings base, ImmutableList<Settings.Objective> objectives) {
    return copy(
        base,
        base.teams(),
        objectives,
        base.nextStoreLimits(),
        base.cloudLimits(),
        base.operator());
  }

  private static Settings copy(
      Settings base,
      ImmutableMap<String, Team> teams,
      ImmutableList<Settings.Objective> objectives,
      Settings.StoreLimits nextLimits,
      Settings.CloudLimits cloud,
      OperatorSettings operator) {
    return new Settings(
        base.nodeName(),
        base.zone(),
        base.publicEndpoint(),
        base.peerListenEndpoint(),
        base.peerEndpoints(),
        base.peerZones(),
        base.cloudEndpoint(),
        base.storeEndpoint(),
        teams,
        objectives,
        base.workerTimings(),
        base.storeLimits(),
        nextLimits,
        cloud,
        base.controllerResources(),
        operator);
  }

  /** Returns the same job with these task resources, run time and machine type, spot allowed. */
  public static Job withTaskShape(
      Job template, Resources taskResources, double runS, String machineType) {
    return copyJob(
        template, template.priority(), taskResources, ImmutableSet.of(machineType), true, runS);
  }

  /** Returns the same job with this run time of its tasks. */
  static Job withRunTime(Job template, double runS) {
    return copyJob(
        template,
        template.priority(),
        template.taskResources(),
        template.allowedTypes(),
        template.spotAllowed(),
        runS);
  }

  static Job withPriority(Job template, Priority priority) {
    return copyJob(
        template,
        priority,
        template.taskResources(),
        template.allowedTypes(),
        template.spotAllowed(),
        template.estimatedRunS());
  }

  private static Job copyJob(
      Job template,
      Priority priority,
      Resources taskResources,
      ImmutableSet<String> allowedTypes,
      boolean isSpotAllowed,
      double runS) {
    return new Job(
        template.uid(),
        template.jobClass(),
        template.team(),
        template.kind(),
        priority,
        template.tasks(),
        taskResources,
        allowedTypes,
        template.requiredZone(),
        template.singleZone(),
        template.spreadZones(),
        isSpotAllowed,
        template.image(),
        template.imageGb(),
        runS,
        template.checkpointIntervalS(),
        template.saveDurationS(),
        template.deadlineS());
  }

  /** Returns a gang with a checkpoint every 2 s that takes 1 s to save when it is stopped. */
  public static Job gang(int number, int tasks, double cpus, double runS, boolean singleZone) {
    return gang(number, tasks, cpus, runS, singleZone, "blue", false);
  }

  static Job gang(
      int number,
      int tasks,
      double cpus,
      double runS,
      boolean singleZone,
      String team,
      boolean isSpotAllowed) {
    return new Job(
        "run-%06d".formatted(number),
        "plan",
        team,
        JobKind.GANG,
        Priority.HIGH,
        tasks,
        new Resources(cpus, team.equals("red") ? 1 : 0, 4),
        null,
        null,
        singleZone,
        false,
        isSpotAllowed,
        "img",
        1,
        runS,
        2,
        1,
        null);
  }

  /** Returns a job of team blue with the image {@code img}. */
  public static Job job(int number, JobKind kind, int tasks, double gpus) {
    return job(number, kind, tasks, gpus, "blue", Priority.HIGH, false, false);
  }

  /** Returns a job of team blue with this image. */
  public static Job job(int number, JobKind kind, int tasks, double gpus, String image) {
    return job(number, kind, tasks, gpus, "blue", Priority.HIGH, false, false, image, 1);
  }

  /** Returns a job with the image {@code img}. */
  public static Job job(
      int number,
      JobKind kind,
      int tasks,
      double gpus,
      String team,
      Priority priority,
      boolean isSpread,
      boolean isSpotAllowed) {
    return job(number, kind, tasks, gpus, team, priority, isSpread, isSpotAllowed, "img", 1);
  }

  /** Returns a job; the overloads call this method with defaults. */
  public static Job job(
      int number,
      JobKind kind,
      int tasks,
      double gpus,
      String team,
      Priority priority,
      boolean isSpread,
      boolean isSpotAllowed,
      String image,
      double imageGb) {
    return new Job(
        "run-%06d".formatted(number),
        kind == JobKind.SERVICE ? "web" : "batch",
        team,
        kind,
        priority,
        tasks,
        new Resources(1, gpus, 4),
        null,
        null,
        false,
        isSpread,
        isSpotAllowed,
        image,
        imageGb,
        kind == JobKind.SERVICE ? 0 : 4,
        0,
        0,
        null);
  }

  /** Returns the state of a job that a leader has just added. */
  public static JobState jobState(Job job) {
    Backoff backoff = new Backoff(1, 2);
    return new JobState(
        job, PlacementProfile.of(job), 1, 0, backoff, backoff, new FailureHistory(1));
  }
}
