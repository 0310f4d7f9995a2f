package eiderfork.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.model.Job;
import eiderfork.model.PlainAllocationSize;
import eiderfork.model.Team;
import java.nio.file.Path;

/** Parses the platform's settings, a TOML file; unknown fields are ignored. */
public final class SettingsParser {
  /** The number of changes that acquire leadership: the leader key and the term counter. */
  private static final int MIN_TRANSACTION_OPS = 2;

  /** The maximum length of a machine name, which is that of a store key. */
  private static final int MAX_MACHINE_NAME_BYTES = 200;

  /** The memory that a controller of a small deployment uses, with a reserve. */
  private static final double MIN_MEMORY_MB = 96;

  private static final double DEFAULT_MEMORY_MB = 256;

  private final OperatorSettings operator;
  private final TomlTable root;
  private final TomlTable endpoints;
  private final TomlTable deployment;
  private final TomlTable workers;
  private final TomlTable store;
  private final TomlTable cloud;
  private final TomlTable resources;

  private SettingsParser(TomlTable root, OperatorSettings operator)
      throws InvalidSettingsException {
    this.operator = operator;
    this.root = root;
    endpoints = root.table("endpoints");
    deployment = root.table("deployment");
    workers = deployment.table("workers");
    store = deployment.table("state");
    cloud = deployment.table("cloud");
    resources = deployment.table("resources");
  }

  /**
   * Reads and validates a settings file.
   *
   * @throws InvalidSettingsException if the file can't be read or a field is invalid
   */
  public static Settings read(Path path, OperatorSettings operator)
      throws InvalidSettingsException {
    return parse(SettingsSource.read(path), operator);
  }

  /**
   * Parses and validates the text of a settings file; {@code file} is only used in error messages.
   *
   * @throws InvalidSettingsException if the text can't be parsed or a field is invalid
   */
  public static Settings parse(String file, String text, OperatorSettings operator)
      throws InvalidSettingsException {
    return parse(new SettingsSource(file, text), operator);
  }

  private static Settings parse(SettingsSource source, OperatorSettings operator)
      throws InvalidSettingsException {
    TomlTable root = TomlTable.parse(source);
    Peers peers = Peers.read(root);
    return new SettingsParser(root, operator).readSettings(peers);
  }

  /** The endpoints and zones of the other controllers, by name. */
  private record Peers(
      ImmutableMap<String, Settings.Endpoint> endpoints, ImmutableMap<String, String> zones) {
    static Peers read(TomlTable root) throws InvalidSettingsException {
      ImmutableMap.Builder<String, Settings.Endpoint> endpoints = ImmutableMap.builder();
      ImmutableMap.Builder<String, String> zones = ImmutableMap.builder();
      for (TomlTable peer : root.tables("others", "")) {
        String name = peer.text("host_name");
        endpoints.put(name, peer.endpoint("endpoint"));
        zones.put(name, peer.text("zone"));
      }
      return new Peers(endpoints.buildKeepingLast(), zones.buildKeepingLast());
    }
  }

  private Settings readSettings(Peers peers) throws InvalidSettingsException {
    Settings.WorkerTimings workerTimings = readWorkerTimings();
    Settings.StoreLimits storeLimits = readStoreLimits(store);
    Settings.StoreLimits nextStoreLimits =
        store.has("next") ? readStoreLimits(store.table("next").withDefaults(store)) : storeLimits;
    double memoryMb = readMemoryMb();
    return new Settings(
        root.text("host_name"),
        root.text("zone"),
        root.endpoint("public_addr"),
        root.endpoint("peer_listen"),
        peers.endpoints(),
        peers.zones(),
        endpoints.endpoint("cloud"),
        endpoints.endpoint("state"),
        readTeams(),
        readObjectives(),
        workerTimings,
        storeLimits,
        nextStoreLimits,
        new Settings.CloudLimits(cloud.positive("rps"), cloud.positive("list_lag_s")),
        new Settings.ControllerResources(
            resources.positive("cpu_share"), (int) resources.positive("sockets"), memoryMb),
        operator);
  }

  private Settings.WorkerTimings readWorkerTimings() throws InvalidSettingsException {
    double heartbeatS = workers.positive("report_s");
    double leaseS = workers.positive("lease_s");
    double cancelDeadlineS = workers.positive("cancel_s");
    workers.require(
        leaseS >= 2 * heartbeatS, "lease_s", "shorter than two heartbeat intervals (report_s)");
    workers.require(
        cancelDeadlineS > leaseS + 2 * heartbeatS,
        "cancel_s",
        "not longer than a lease and two heartbeat intervals (lease_s, report_s), the time within"
            + " which a partitioned machine ends its tasks");
    return new Settings.WorkerTimings(heartbeatS, leaseS, cancelDeadlineS);
  }

  /** Reads the store limits of a table, and checks that the controller can work within them. */
  private static Settings.StoreLimits readStoreLimits(TomlTable table)
      throws InvalidSettingsException {
    double valueKb = table.positive("value_kb");
    table.require(
        PlainAllocationSize.canFitOneReservation(Job.MAX_TASKS, MAX_MACHINE_NAME_BYTES, valueKb),
        "value_kb",
        "too small for an allocation record with one reservation");
    double transactionOps = table.positive("txn_ops");
    table.require(
        transactionOps >= MIN_TRANSACTION_OPS,
        "txn_ops",
        "fewer changes than the transaction that acquires leadership needs ("
            + MIN_TRANSACTION_OPS
            + ")");
    return new Settings.StoreLimits(
        table.positive("rps"), table.positive("write_rps"), valueKb, (int) transactionOps);
  }

  private double readMemoryMb() throws InvalidSettingsException {
    double memoryMb = resources.number("memory_mb", DEFAULT_MEMORY_MB);
    resources.require(
        memoryMb >= MIN_MEMORY_MB,
        "memory_mb",
        "less than the minimum for a controller (" + (int) MIN_MEMORY_MB + ")");
    return memoryMb;
  }

  private ImmutableMap<String, Team> readTeams() throws InvalidSettingsException {
    ImmutableMap.Builder<String, Team> teams = ImmutableMap.builder();
    for (TomlTable team : deployment.tables("teams", "deployment.teams")) {
      String name = team.text("name");
      teams.put(
          name,
          new Team(
              name,
              team.number("cpus", 0),
              team.number("cpus_max", 0),
              team.number("gpus", 0),
              team.number("gpus_max", 0)));
    }
    return teams.buildKeepingLast();
  }

  private ImmutableList<Settings.Objective> readObjectives() throws InvalidSettingsException {
    ImmutableList.Builder<Settings.Objective> objectives = ImmutableList.builder();
    for (TomlTable objective : deployment.tables("objectives", "deployment.objectives")) {
      objectives.add(
          new Settings.Objective(
              objectiveKind(objective.text("kind")),
              // Objectives for the quota guarantees of teams have no class.
              objective.textOrEmpty("class"),
              objective.number("within_s", 0),
              objective.number("times", 1),
              objective.number("share", 0)));
    }
    return objectives.build();
  }

  private static Settings.Objective.Kind objectiveKind(String name) {
    return switch (name) {
      case "wait" -> Settings.Objective.Kind.WAIT;
      case "finished" -> Settings.Objective.Kind.FINISHED;
      case "deadline" -> Settings.Objective.Kind.DEADLINE;
      default -> Settings.Objective.Kind.OTHER;
    };
  }
}
