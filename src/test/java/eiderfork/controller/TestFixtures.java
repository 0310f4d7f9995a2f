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

/** Settings and jobs that tests have in common. */
public final class TestFixtures {
  /** The timings of small deployments, and of those with many machines. */
  static final Settings.WorkerTimings SHORT_LEASES = new Settings.WorkerTimings(1, 10, 30);

  static final Settings.WorkerTimings LONG_LEASES = new Settings.WorkerTimings(4, 22, 42);

  private TestFixtures() {}

  /** Three nodes are in one zone; more are spread over two zones by turns. */
  static String zone(int node, int count) {
    return count > 3 && node % 2 == 1 ? "b" : "a";
  }

  /** Settings with the timings of a fleet with many machines. */
  static Settings longLeaseSettings() {
    return settings("roost-0", LONG_LEASES, new Settings.StoreLimits(200, 40, 4, 16), 0.2, 160, 3);
  }

  /** Settings of one of three controllers, with a heartbeat each second. */
  public static Settings settings(String node) {
    return settings(node, 3);
  }

  /** The same with this number of nodes. */
  static Settings settings(String node, int count) {
    return settings(node, SHORT_LEASES, new Settings.StoreLimits(200, 40, 8, 16), 0.2, 160, count);
  }

  static Settings settings(
      String node,
      Settings.WorkerTimings workers,
      Settings.StoreLimits stateLimits,
      double cpuShare,
      int sockets,
      int count) {
    ImmutableMap.Builder<String, Settings.Endpoint> peers = ImmutableMap.builder();
    ImmutableMap.Builder<String, String> peerZones = ImmutableMap.builder();
    for (int i = 0; i < count; i++) {
      if (!node.equals("roost-" + i)) {
        peers.put("roost-" + i, new Settings.Endpoint("10.0.0." + (i + 1), 8081));
        peerZones.put("roost-" + i, zone(i, count));
      }
    }
    return new Settings(
        node,
        zone(node.charAt(node.length() - 1) - '0', count),
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
        workers,
        stateLimits,
        stateLimits,
        new Settings.CloudLimits(2, 4),
        new Settings.ControllerResources(cpuShare, sockets, 148),
        OperatorSettings.DEFAULTS);
  }

  /** The same settings, with announced limits of the store. */
  static Settings withNextLimits(Settings base, Settings.StoreLimits next) {
    return copy(base, base.teams(), base.objectives(), next, base.cloudLimits(), base.operator());
  }

  /** The same settings, with other operator settings. */
  static Settings withOperator(Settings base, OperatorSettings operator) {
    return copy(
        base,
        base.teams(),
        base.objectives(),
        base.nextStoreLimits(),
        base.cloudLimits(),
        operator);
  }

  /** Settings with which jobs are archived that long after their end. */
  public static Settings archivingSettings(double seconds) {
    return archivingSettings(seconds, OperatorSettings.DEFAULTS.maxEndedJobs());
  }

  /** Settings with which jobs are archived that long after their end, or past this number. */
  public static Settings archivingSettings(double seconds, int maxEndedJobs) {
    OperatorSettings defaults = OperatorSettings.DEFAULTS;
    return withOperator(
        settings("roost-0"),
        operator(seconds, maxEndedJobs, defaults.standbyCount(), defaults.isLendingEnabled()));
  }

  /** The same settings, with this number of standbys. */
  static Settings withStandbys(Settings base, int standbys) {
    OperatorSettings own = base.operator();
    return withOperator(
        base,
        operator(own.endedJobRetentionS(), own.maxEndedJobs(), standbys, own.isLendingEnabled()));
  }

  /** The same settings, with or without quota borrowing. */
  static Settings withLending(Settings base, boolean lending) {
    OperatorSettings own = base.operator();
    return withOperator(
        base, operator(own.endedJobRetentionS(), own.maxEndedJobs(), own.standbyCount(), lending));
  }

  private static OperatorSettings operator(
      double endedJobRetentionS, int maxEndedJobs, int standbys, boolean lending) {
    OperatorSettings defaults = OperatorSettings.DEFAULTS;
    return new OperatorSettings(
        defaults.updateWindowShare(),
        defaults.leaderLeaseShare(),
        defaults.headroomDeviations(),
        defaults.idleBootShare(),
        defaults.isSpotAllowed(),
        endedJobRetentionS,
        maxEndedJobs,
        standbys,
        lending,
        defaults.loanCooldownBoots(),
        defaults.traceFile());
  }

  /** The same settings, with other teams. */
  static Settings withTeams(Settings base, ImmutableMap<String, Team> teams) {
    return copy(
        base,
        teams,
        base.objectives(),
        base.nextStoreLimits(),
        base.cloudLimits(),
        base.operator());
  }

  /** The same settings, with another rate limit of the cloud. */
  static Settings withCloudRate(Settings base, double rps) {
    Settings.CloudLimits cloud = new Settings.CloudLimits(rps, base.cloudLimits().listLagS());
    return copy(
        base, base.teams(), base.objectives(), base.nextStoreLimits(), cloud, base.operator());
  }

  /** The same settings, with other service-level objectives. */
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
      Settings.StoreLimits next,
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
        next,
        cloud,
        base.controllerResources(),
        operator);
  }

  /** The same job with tasks of this size and run time, on machines of this type, spot or not. */
  public static Job withTaskShape(Job template, Resources demand, double runS, String type) {
    return with(template, template.priority(), demand, ImmutableSet.of(type), true, runS);
  }

  /** The same job with another run time of its tasks. */
  static Job withRunTime(Job template, double runS) {
    return with(
        template,
        template.priority(),
        template.taskResources(),
        template.allowedTypes(),
        template.spotAllowed(),
        runS);
  }

  static Job withPriority(Job template, Priority priority) {
    return with(
        template,
        priority,
        template.taskResources(),
        template.allowedTypes(),
        template.spotAllowed(),
        template.estimatedRunS());
  }

  private static Job with(
      Job template,
      Priority priority,
      Resources demand,
      ImmutableSet<String> types,
      boolean spot,
      double runS) {
    return new Job(
        template.uid(),
        template.jobClass(),
        template.team(),
        template.kind(),
        priority,
        template.tasks(),
        demand,
        types,
        template.requiredZone(),
        template.singleZone(),
        template.spreadZones(),
        spot,
        template.image(),
        template.imageGb(),
        runS,
        template.checkpointIntervalS(),
        template.saveDurationS(),
        template.deadlineS());
  }

  /** A gang that saves every 2 s of its work, and takes 1 s to save when it is stopped. */
  public static Job gang(int number, int tasks, double cpus, double runS, boolean oneZone) {
    return gang(number, tasks, cpus, runS, oneZone, "blue", false);
  }

  static Job gang(
      int number, int tasks, double cpus, double runS, boolean oneZone, String team, boolean spot) {
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
        oneZone,
        false,
        spot,
        "img",
        1,
        runS,
        2,
        1,
        null);
  }

  /** A job of team blue with the image {@code img}. */
  public static Job job(int number, JobKind kind, int tasks, double gpus) {
    return job(number, kind, tasks, gpus, "blue", Priority.HIGH, false, false);
  }

  /** A job of team blue with this image. */
  public static Job job(int number, JobKind kind, int tasks, double gpus, String image) {
    return job(number, kind, tasks, gpus, "blue", Priority.HIGH, false, false, image, 1);
  }

  /** A job with the image {@code img}. */
  public static Job job(
      int number,
      JobKind kind,
      int tasks,
      double gpus,
      String team,
      Priority priority,
      boolean spread,
      boolean spot) {
    return job(number, kind, tasks, gpus, team, priority, spread, spot, "img", 1);
  }

  /** A job; the other forms call this one with defaults. */
  public static Job job(
      int number,
      JobKind kind,
      int tasks,
      double gpus,
      String team,
      Priority priority,
      boolean spread,
      boolean spot,
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
        spread,
        spot,
        image,
        imageGb,
        kind == JobKind.SERVICE ? 0 : 4,
        0,
        0,
        null);
  }

  /** A job as a leader holds it that has just added it. */
  public static JobState jobState(Job job) {
    Backoff backoff = new Backoff(1, 2);
    return new JobState(
        job, PlacementProfile.of(job), 1, 0, backoff, backoff, new FailureHistory(1));
  }
}
