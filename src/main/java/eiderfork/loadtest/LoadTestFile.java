package eiderfork.loadtest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import eiderfork.config.InvalidSettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Reads and checks the file of a scale run; unknown and impossible entries are refused. */
public final class LoadTestFile {
  private static final Set<String> JOB_KINDS = Set.of("service", "array");
  private static final Set<String> PRIORITIES = Set.of("production", "high", "standard", "low");
  private static final Set<String> TROUBLES =
      Set.of("leader", "rack", "third", "workers", "zone", "controllers");

  private final String file;

  private LoadTestFile(String file) {
    this.file = file;
  }

  /**
   * Reads the file of a scale run.
   *
   * @throws InvalidSettingsException with file, field and reason where it can't be used
   */
  public static LoadTestSettings read(Path path) throws InvalidSettingsException {
    try {
      return parse(path.toString(), Files.readString(path));
    } catch (IOException e) {
      throw new InvalidSettingsException(path.toString(), "", "can't be read");
    }
  }

  /**
   * Checks the text of a file; {@code file} is only named in errors.
   *
   * @throws InvalidSettingsException with file, field and reason where it can't be used
   */
  public static LoadTestSettings parse(String file, String text) throws InvalidSettingsException {
    TomlMapper mapper =
        TomlMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();
    try {
      LoadTestSettings settings = mapper.readValue(text, LoadTestSettings.class);
      new LoadTestFile(file).check(settings);
      return settings;
    } catch (UnrecognizedPropertyException e) {
      throw new InvalidSettingsException(file, field(e), "unknown");
    } catch (JsonMappingException e) {
      throw new InvalidSettingsException(file, field(e), firstLine(e));
    } catch (JsonProcessingException e) {
      throw new InvalidSettingsException(file, "", "not TOML: " + firstLine(e));
    }
  }

  private static String firstLine(JsonProcessingException e) {
    String message = e.getOriginalMessage().lines().findFirst().orElse("can't be read");
    // The mapper's own words name its switches.
    return message.startsWith("Missing creator property") ? "missing" : message;
  }

  private static String field(JsonMappingException e) {
    return e.getPath().stream()
        .map(at -> at.getFieldName() == null ? "[" + at.getIndex() + "]" : at.getFieldName())
        .collect(Collectors.joining("."))
        .replace(".[", "[");
  }

  private void check(LoadTestSettings it) throws InvalidSettingsException {
    positive(it.runS(), "run_s");
    atLeast(it.preloadedEndedJobs(), 0, "preloaded_ended_jobs");
    atLeast(it.preloadedArchivedJobs(), 0, "preloaded_archived_jobs");
    checkCells(it.cells());
    positive(it.workers().reportS(), "workers.report_s");
    atLeast(it.workers().leaseS(), 2 * it.workers().reportS(), "workers.lease_s");
    atLeast(
        it.workers().cancelS(),
        it.workers().leaseS() + 2 * it.workers().reportS(),
        "workers.cancel_s");
    positive(it.state().rps(), "state.rps");
    positive(it.state().writeRps(), "state.write_rps");
    positive(it.state().valueKb(), "state.value_kb");
    atLeast(it.state().txnOps(), 2, "state.txn_ops");
    atLeast(it.state().answerMs(), 0, "state.answer_ms");
    positive(it.cloud().rps(), "cloud.rps");
    positive(it.cloud().listLagS(), "cloud.list_lag_s");
    atLeast(it.phases().rampS(), 0, "phases.ramp_s");
    atLeast(it.phases().peakAtS(), it.phases().rampS(), "phases.peak_at_s");
    atLeast(it.phases().peakS(), 0, "phases.peak_s");
    positive(it.users().pollS(), "users.poll_s");
    atLeast(it.users().lateQuestionsPerS(), 0, "users.late_questions_per_s");
    checkTypes(it.machineTypes());
    checkClasses(it.classes());
    checkTroubles(it);
  }

  private void checkCells(LoadTestSettings.Cells cells) throws InvalidSettingsException {
    atLeast(cells.count(), 1, "cells.count");
    atLeast(cells.zones(), 1, "cells.zones");
    atLeast(cells.racksPerZone(), 1, "cells.racks_per_zone");
    atLeast(cells.controllers(), 1, "cells.controllers");
    atLeast(cells.workers(), 1, "cells.workers");
    atLeast(cells.teams(), 1, "cells.teams");
  }

  private void checkTypes(List<LoadTestSettings.MachineKind> types)
      throws InvalidSettingsException {
    atLeast(types.size(), 1, "machine_types");
    for (int i = 0; i < types.size(); i++) {
      String at = "machine_types[" + i + "].";
      positive(types.get(i).cpus(), at + "cpus");
      positive(types.get(i).fetchGbPerS(), at + "fetch_gb_per_s");
      positive(types.get(i).price(), at + "price");
      positive(types.get(i).bootS(), at + "boot_s");
      positive(types.get(i).share(), at + "share");
    }
  }

  private void checkClasses(List<LoadTestSettings.JobClass> classes)
      throws InvalidSettingsException {
    atLeast(classes.size(), 1, "classes");
    for (int i = 0; i < classes.size(); i++) {
      String at = "classes[" + i + "].";
      LoadTestSettings.JobClass it = classes.get(i);
      oneOf(it.kind(), JOB_KINDS, at + "kind");
      oneOf(it.priority(), PRIORITIES, at + "priority");
      atLeast(it.tasks(), 1, at + "tasks");
      atLeast(it.images(), 1, at + "images");
      atLeast(it.first(), 0, at + "first");
      atLeast(it.perS(), 0, at + "per_s");
      atLeast(it.peakPerS(), 0, at + "peak_per_s");
      if (it.kind().equals("array")) {
        positive(it.runS(), at + "run_s");
      }
    }
  }

  private void checkTroubles(LoadTestSettings settings) throws InvalidSettingsException {
    List<LoadTestSettings.Fault> troubles = settings.troubles();
    for (int i = 0; i < troubles.size(); i++) {
      String at = "troubles[" + i + "].";
      LoadTestSettings.Fault it = troubles.get(i);
      oneOf(it.kind(), TROUBLES, at + "kind");
      atLeast(it.forS(), 0, at + "for_s");
      atLeast(it.cell(), 0, at + "cell");
      if (it.cell() >= settings.cells().count()) {
        throw new InvalidSettingsException(file, at + "cell", "there are fewer cells");
      }
      if (it.atS() < 0 || it.atS() > settings.runS()) {
        throw new InvalidSettingsException(file, at + "at_s", "not within run_s");
      }
    }
  }

  private void positive(double value, String field) throws InvalidSettingsException {
    if (!(value > 0)) {
      throw new InvalidSettingsException(file, field, "not above 0");
    }
  }

  private void atLeast(double value, double least, String field) throws InvalidSettingsException {
    if (!(value >= least)) {
      throw new InvalidSettingsException(file, field, "less than " + least);
    }
  }

  private void oneOf(String value, Set<String> known, String field)
      throws InvalidSettingsException {
    if (!known.contains(value)) {
      throw new InvalidSettingsException(
          file, field, "not one of " + new java.util.TreeSet<>(known));
    }
  }
}
