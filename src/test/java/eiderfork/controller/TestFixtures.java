package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import eiderfork.config.OperatorSettings;
import eiderfork.config.Settings;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.model.Team;

/** Settings and jobs that tests have in common. */
final class TestFixtures {
  /** The figures of the earlier deployments, and of those of many machines. */
  static final Settings.Workers QUICK = new Settings.Workers(1, 10, 30);

  static final Settings.Workers SLOW = new Settings.Workers(4, 22, 42);

  private TestFixtures() {}

  /** Three nodes stand in one zone; more are spread over the two by turns. */
  static String zone(int node, int count) {
    return count > 3 && node % 2 == 1 ? "b" : "a";
  }

  /** Settings with the figures of a fleet of many machines. */
  static Settings slow() {
    return settings("roost-0", SLOW, new Settings.StateLimits(200, 40, 4, 16), 0.2, 160, 3);
  }

  static Settings settings(String node) {
    return settings(node, 3);
  }

  /** The same with so many nodes. */
  static Settings settings(String node, int count) {
    return settings(node, QUICK, new Settings.StateLimits(200, 40, 8, 16), 0.2, 160, count);
  }

  static Settings settings(
      String node,
      Settings.Workers workers,
      Settings.StateLimits stateLimits,
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
        new Settings.Controller(cpuShare, sockets, 148),
        OperatorSettings.DEFAULTS);
  }

  /** The same settings, with limits of the state service that are to come. */
  static Settings withNextLimits(Settings base, Settings.StateLimits next) {
    return with(base, base.objectives(), next, base.operator());
  }

  /** The same settings, with these of the operators. */
  static Settings withOperator(Settings base, OperatorSettings operator) {
    return with(base, base.objectives(), base.nextStateLimits(), operator);
  }

  /** Settings by which jobs are archived that long after their end. */
  static Settings archivingAfter(double seconds) {
    return archiving(seconds, OperatorSettings.DEFAULTS.mostEndedJobs());
  }

  /** Settings by which jobs are archived that long after their end, or past so many of them. */
  static Settings archiving(double seconds, int mostEndedJobs) {
    OperatorSettings d = OperatorSettings.DEFAULTS;
    return withOperator(
        settings("roost-0"), operator(seconds, mostEndedJobs, d.standbys(), d.lending()));
  }

  /** The same settings, with so many nodes that stand by. */
  static Settings withStandbys(Settings base, int standbys) {
    OperatorSettings own = base.operator();
    return withOperator(
        base, operator(own.endedJobsStayS(), own.mostEndedJobs(), standbys, own.lending()));
  }

  /** The same settings, with batch work that borrows and is reclaimed. */
  static Settings withLending(Settings base, boolean lending) {
    OperatorSettings own = base.operator();
    return withOperator(
        base, operator(own.endedJobsStayS(), own.mostEndedJobs(), own.standbys(), lending));
  }

  private static OperatorSettings operator(
      double endedJobsStayS, int mostEndedJobs, int standbys, boolean lending) {
    OperatorSettings d = OperatorSettings.DEFAULTS;
    return new OperatorSettings(
        d.roundShare(),
        d.stateLeaseShare(),
        d.headroom(),
        d.idleShare(),
        d.spot(),
        endedJobsStayS,
        mostEndedJobs,
        standbys,
        lending,
        d.loanCooldown(),
        d.traceFile());
  }

  /** The same settings, with other teams. */
  static Settings withTeams(Settings base, ImmutableMap<String, Team> teams) {
    return with(base, teams, base.cloudLimits());
  }

  /** The same settings, with a cloud that takes so many calls a second. */
  static Settings withCloudRate(Settings base, double rps) {
    return with(base, base.teams(), new Settings.CloudLimits(rps, base.cloudLimits().listLagS()));
  }

  private static Settings with(
      Settings base, ImmutableMap<String, Team> teams, Settings.CloudLimits cloud) {
    return new Settings(
        base.node(),
        base.zone(),
        base.listen(),
        base.peerListen(),
        base.peers(),
        base.peerZones(),
        base.cloud(),
        base.state(),
        teams,
        base.objectives(),
        base.workers(),
        base.stateLimits(),
        base.nextStateLimits(),
        cloud,
        base.controller(),
        base.operator());
  }

  /** The same settings, with other aims of the users. */
  static Settings withObjectives(Settings base, ImmutableList<Settings.Objective> objectives) {
    return with(base, objectives, base.nextStateLimits(), base.operator());
  }

  private static Settings with(
      Settings base,
      ImmutableList<Settings.Objective> objectives,
      Settings.StateLimits next,
      OperatorSettings operator) {
    return new Settings(
        base.node(),
        base.zone(),
        base.listen(),
        base.peerListen(),
        base.peers(),
        base.peerZones(),
        base.cloud(),
        base.state(),
        base.teams(),
        objectives,
        base.workers(),
        base.stateLimits(),
        next,
        base.cloudLimits(),
        base.controller(),
        operator);
  }

  /** The same job with tasks of this size and run time, on machines of this type, spot or not. */
  static Job sized(Job like, Resources need, double runS, String type) {
    return with(like, like.priority(), need, ImmutableSet.of(type), true, runS);
  }

  /** The same job, of which each task runs for so long. */
  static Job withRunTime(Job like, double runS) {
    return with(like, like.priority(), like.need(), like.types(), like.spot(), runS);
  }

  static Job withPriority(Job like, Priority priority) {
    return with(like, priority, like.need(), like.types(), like.spot(), like.estimateS());
  }

  private static Job with(
      Job like,
      Priority priority,
      Resources need,
      ImmutableSet<String> types,
      boolean spot,
      double runS) {
    return new Job(
        like.uid(),
        like.jobClass(),
        like.team(),
        like.kind(),
        priority,
        like.tasks(),
        need,
        types,
        like.zone(),
        like.oneZone(),
        like.spread(),
        spot,
        like.image(),
        like.imageGb(),
        runS,
        like.checkpointS(),
        like.saveS(),
        like.deadlineS());
  }

  /** A gang that saves every 2 s of its work, and takes 1 s to save when it is stopped. */
  static Job gang(int number, int tasks, double cpus, double runS, boolean oneZone) {
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

  static Job job(int number, JobKind kind, int tasks, double gpus) {
    return job(number, kind, tasks, gpus, "blue", Priority.HIGH, false, false);
  }

  static Job job(int number, JobKind kind, int tasks, double gpus, String image) {
    return job(number, kind, tasks, gpus, "blue", Priority.HIGH, false, false, image, 1);
  }

  static Job job(
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

  static Job job(
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

  /** A job as a leader holds it that has just learned of it. */
  static JobState entry(Job job) {
    Backoff backoff = new Backoff(1, 2);
    return new JobState(
        job, PlacementProfile.of(job), 1, 0, backoff, backoff, new FailureHistory(1));
  }
}
