package eiderfork.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.model.Job;
import eiderfork.model.PlainAllocationSize;
import eiderfork.model.Team;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the platform's settings; fields that it does not know are ignored. */
public final class SettingsParser {
  /** The leader key and the counter of terms are written in one transaction. */
  private static final int MIN_TRANSACTION_OPS = 2;

  /** A machine's name is no longer than a key may be. */
  private static final int MAX_MACHINE_NAME_BYTES = 200;

  /** What a controller of a small deployment takes, in MB, with some to spare. */
  private static final double MIN_MEMORY_MB = 96;

  /** What a controller may take where the settings do not say. */
  private static final double DEFAULT_MEMORY_MB = 256;

  private final String file;

  private SettingsParser(String file) {
    this.file = file;
  }

  /**
   * Reads and checks a settings file.
   *
   * @throws InvalidSettingsException where the file or a field can't be used
   */
  public static Settings read(Path path, OperatorSettings operator)
      throws InvalidSettingsException {
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException e) {
      throw new InvalidSettingsException(path.toString(), "", "can't be read");
    }
    return parse(path.toString(), text, operator);
  }

  /**
   * Checks the text of a settings file; {@code file} is only named in errors.
   *
   * @throws InvalidSettingsException where the text or a field can't be used
   */
  public static Settings parse(String file, String text, OperatorSettings operator)
      throws InvalidSettingsException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new InvalidSettingsException(file, "", "not TOML: " + e.getOriginalMessage());
    }
    return new SettingsParser(file).readSettings(root, operator);
  }

  private Settings readSettings(JsonNode root, OperatorSettings operator)
      throws InvalidSettingsException {
    ImmutableMap.Builder<String, Settings.Endpoint> peers = ImmutableMap.builder();
    ImmutableMap.Builder<String, String> peerZones = ImmutableMap.builder();
    for (JsonNode peer : root.path("others")) {
      peers.put(text(peer, "", "host_name"), endpoint(peer, "", "endpoint"));
      peerZones.put(text(peer, "", "host_name"), text(peer, "", "zone"));
    }
    JsonNode endpoints = table(root, "", "endpoints");
    JsonNode deployment = table(root, "", "deployment");
    JsonNode workers = table(deployment, "deployment", "workers");
    JsonNode state = table(deployment, "deployment", "state");
    JsonNode cloud = table(deployment, "deployment", "cloud");
    String inWorkers = "deployment.workers";
    String inState = "deployment.state";
    String inCloud = "deployment.cloud";
    String inResources = "deployment.resources";
    JsonNode resources = table(deployment, "deployment", "resources");
    double reportS = positive(workers, inWorkers, "report_s");
    double leaseS = positive(workers, inWorkers, "lease_s");
    double cancelS = positive(workers, inWorkers, "cancel_s");
    require(leaseS >= 2 * reportS, inWorkers, "lease_s", "shorter than two reports (report_s)");
    require(
        cancelS > leaseS + 2 * reportS,
        inWorkers,
        "cancel_s",
        "no longer than a lease and two reports (lease_s, report_s), in which a machine that is cut"
            + " off ends its tasks");
    Settings.StoreLimits stateLimits = readStoreLimits(state, inState, state);
    Settings.StoreLimits nextStateLimits =
        state.has("next")
            ? readStoreLimits(table(state, inState, "next"), inState + ".next", state)
            : stateLimits;
    double memoryMb = number(resources, inResources, "memory_mb", DEFAULT_MEMORY_MB);
    require(
        memoryMb >= MIN_MEMORY_MB,
        inResources,
        "memory_mb",
        "less than a controller may take (" + (int) MIN_MEMORY_MB + ")");
    return new Settings(
        text(root, "", "host_name"),
        text(root, "", "zone"),
        endpoint(root, "", "public_addr"),
        endpoint(root, "", "peer_listen"),
        peers.buildKeepingLast(),
        peerZones.buildKeepingLast(),
        endpoint(endpoints, "endpoints", "cloud"),
        endpoint(endpoints, "endpoints", "state"),
        readTeams(deployment),
        readObjectives(deployment),
        new Settings.WorkerTimings(reportS, leaseS, cancelS),
        stateLimits,
        nextStateLimits,
        new Settings.CloudLimits(
            positive(cloud, inCloud, "rps"), positive(cloud, inCloud, "list_lag_s")),
        new Settings.ControllerResources(
            positive(resources, inResources, "cpu_share"),
            (int) positive(resources, inResources, "sockets"),
            memoryMb),
        operator);
  }

  /**
   * The limits that a table states, checked for what this program writes.
   *
   * @param fallback has the figures that the table leaves as they are
   */
  private Settings.StoreLimits readStoreLimits(JsonNode table, String at, JsonNode fallback)
      throws InvalidSettingsException {
    double valueKb = positive(firstWith(table, fallback, "value_kb"), at, "value_kb");
    require(
        PlainAllocationSize.canFitOneReservation(Job.MAX_TASKS, MAX_MACHINE_NAME_BYTES, valueKb),
        at,
        "value_kb",
        "too small for the record of any job");
    double txnOps = positive(firstWith(table, fallback, "txn_ops"), at, "txn_ops");
    require(
        txnOps >= MIN_TRANSACTION_OPS,
        at,
        "txn_ops",
        "fewer changes than taking the lead writes at once (" + MIN_TRANSACTION_OPS + ")");
    return new Settings.StoreLimits(
        positive(firstWith(table, fallback, "rps"), at, "rps"),
        positive(firstWith(table, fallback, "write_rps"), at, "write_rps"),
        valueKb,
        (int) txnOps);
  }

  private static JsonNode firstWith(JsonNode table, JsonNode fallback, String name) {
    return table.has(name) ? table : fallback;
  }

  private ImmutableMap<String, Team> readTeams(JsonNode deployment)
      throws InvalidSettingsException {
    String at = "deployment.teams";
    ImmutableMap.Builder<String, Team> teams = ImmutableMap.builder();
    for (JsonNode team : deployment.path("teams")) {
      String name = text(team, at, "name");
      teams.put(
          name,
          new Team(
              name,
              number(team, at, "cpus", 0),
              number(team, at, "cpus_max", 0),
              number(team, at, "gpus", 0),
              number(team, at, "gpus_max", 0)));
    }
    return teams.buildKeepingLast();
  }

  private ImmutableList<Settings.Objective> readObjectives(JsonNode deployment)
      throws InvalidSettingsException {
    String at = "deployment.objectives";
    ImmutableList.Builder<Settings.Objective> objectives = ImmutableList.builder();
    for (JsonNode objective : deployment.path("objectives")) {
      objectives.add(
          new Settings.Objective(
              objectiveKind(text(objective, at, "kind")),
              // An aim of the teams' guarantees speaks of no class.
              objective.path("class").asText(""),
              number(objective, at, "within_s", 0),
              number(objective, at, "times", 1),
              number(objective, at, "share", 0)));
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

  /** Refuses figures that can't work together. */
  private void require(boolean works, String at, String name, String reason)
      throws InvalidSettingsException {
    if (!works) {
      throw new InvalidSettingsException(file, fieldPath(at, name), reason);
    }
  }

  private static String fieldPath(String at, String name) {
    return at.isEmpty() ? name : at + "." + name;
  }

  private JsonNode table(JsonNode node, String at, String name) throws InvalidSettingsException {
    JsonNode value = node.path(name);
    if (!value.isObject()) {
      throw new InvalidSettingsException(file, fieldPath(at, name), "missing table");
    }
    return value;
  }

  private String text(JsonNode node, String at, String name) throws InvalidSettingsException {
    JsonNode value = node.path(name);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw new InvalidSettingsException(
          file, fieldPath(at, name), value.isMissingNode() ? "missing" : "not a text");
    }
    return value.textValue();
  }

  private double number(JsonNode node, String at, String name, double fallback)
      throws InvalidSettingsException {
    JsonNode value = node.path(name);
    if (value.isMissingNode()) {
      return fallback;
    }
    if (!value.isNumber() || !(value.doubleValue() >= 0)) {
      throw new InvalidSettingsException(file, fieldPath(at, name), "not a number of at least 0");
    }
    return value.doubleValue();
  }

  private double positive(JsonNode node, String at, String name) throws InvalidSettingsException {
    double value = number(node, at, name, 0);
    if (value <= 0) {
      throw new InvalidSettingsException(file, fieldPath(at, name), "missing or not above 0");
    }
    return value;
  }

  private Settings.Endpoint endpoint(JsonNode node, String at, String name)
      throws InvalidSettingsException {
    String value = text(node, at, name);
    int colon = value.lastIndexOf(':');
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      if (colon > 0 && port >= 0 && port < 65_536) {
        return new Settings.Endpoint(value.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // Said below, like a missing port.
    }
    throw new InvalidSettingsException(
        file, fieldPath(at, name), "not an address of the form host:port");
  }
}
