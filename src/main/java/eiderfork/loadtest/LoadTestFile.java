package eiderfork.loadtest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import eiderfork.config.InvalidSettingsException;
import eiderfork.config.SettingsSource;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Reads and validates the settings file of a load test; unknown and invalid entries are rejected.
 */
public final class LoadTestFile {
  private static final Set<String> JOB_KINDS = Set.of("service", "array");
  private static final Set<String> PRIORITIES = Set.of("production", "high", "standard", "low");
  private static final Set<String> FAULT_KINDS =
      Set.of("leader", "rack", "third", "workers", "zone", "controllers");

  private final SettingsSource source;

  private LoadTestFile(SettingsSource source) {
    this.source = source;
  }

  /**
   * Reads the settings file of a load test.
   *
   * @throws InvalidSettingsException with file, field and reason if the file is invalid
   */
  public static LoadTestSettings read(Path path) throws InvalidSettingsException {
    return parse(SettingsSource.read(path));
  }

  /**
   * Parses and validates settings text; {@code file} is used in error messages only.
   *
   * @throws InvalidSettingsException with file, field and reason if the file is invalid
   */
  public static LoadTestSettings parse(String file, String text) throws InvalidSettingsException {
    return parse(new SettingsSource(file, text));
  }

  private static LoadTestSettings parse(SettingsSource source) throws InvalidSettingsException {
    TomlMapper mapper =
        TomlMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();
    try {
      LoadTestSettings settings = mapper.readValue(source.text(), LoadTestSettings.class);
      new LoadTestFile(source).check(settings);
      return settings;
    } catch (UnrecognizedPropertyException e) {
      throw source.invalidField(field(e), "unknown");
    } catch (JsonMappingException e) {
      throw source.invalidField(field(e), firstLine(e));
    } catch (JsonProcessingException e) {
      throw source.invalidText("not TOML: " + firstLine(e), e);
    }
  }

  private static String firstLine(JsonProcessingException e) {
    String message = e.getOriginalMessage().lines().findFirst().orElse("can't be read");
    // Jackson's message for a missing field also names its configuration options.
    return message.startsWith("Missing creator property") ? "missing" : message;
  }

  private static String field(JsonMappingException e) {
    return e.getPath().stream()
        .map(at -> at.getFieldName() == null ? "[" + at.getIndex() + "]" : at.getFieldName())
        .collect(Collectors.joining("."))
        .replace(".[", "[");
  }

  private void check(LoadTestSettings settings) throws InvalidSettingsException {
    source.requirePositive(settings.runS(), "run_s");
    source.requireAtLeast(settings.preloadedEndedJobs(), 0, "preloaded_ended_jobs");
    source.requireAtLeast(settings.preloadedArchivedJobs(), 0, "preloaded_archived_jobs");
    checkCells(settings.cells());
    source.requirePositive(settings.workers().reportS(), "workers.report_s");
    source.requireAtLeast(
        settings.workers().leaseS(), 2 * settings.workers().reportS(), "workers.lease_s");
    source.requireAtLeast(
        settings.workers().cancelS(),
        settings.workers().leaseS() + 2 * settings.workers().reportS(),
        "workers.cancel_s");
    source.requirePositive(settings.state().rps(), "state.rps");
    source.requirePositive(settings.state().writeRps(), "state.write_rps");
    source.requirePositive(settings.state().valueKb(), "state.value_kb");
    source.requireAtLeast(settings.state().txnOps(), 2, "state.txn_ops");
    source.requireAtLeast(settings.state().answerMs(), 0, "state.answer_ms");
    source.requirePositive(settings.cloud().rps(), "cloud.rps");
    source.requirePositive(settings.cloud().listLagS(), "cloud.list_lag_s");
    source.requireAtLeast(settings.phases().rampS(), 0, "phases.ramp_s");
    source.requireAtLeast(
        settings.phases().peakAtS(), settings.phases().rampS(), "phases.peak_at_s");
    source.requireAtLeast(settings.phases().peakS(), 0, "phases.peak_s");
    source.requirePositive(settings.users().pollS(), "users.poll_s");
    source.requireAtLeast(settings.users().lateQuestionsPerS(), 0, "users.late_questions_per_s");
    checkTypes(settings.machineTypes());
    checkClasses(settings.classes());
    checkFaults(settings);
  }

  private void checkCells(LoadTestSettings.Cells cells) throws InvalidSettingsException {
    source.requireAtLeast(cells.count(), 1, "cells.count");
    source.requireAtLeast(cells.zones(), 1, "cells.zones");
    source.requireAtLeast(cells.racksPerZone(), 1, "cells.racks_per_zone");
    source.requireAtLeast(cells.controllers(), 1, "cells.controllers");
    source.requireAtLeast(cells.workers(), 1, "cells.workers");
    source.requireAtLeast(cells.teams(), 1, "cells.teams");
  }

  private void checkTypes(List<LoadTestSettings.MachineKind> types)
      throws InvalidSettingsException {
    source.requireAtLeast(types.size(), 1, "machine_types");
    for (int i = 0; i < types.size(); i++) {
      String at = "machine_types[" + i + "].";
      source.requirePositive(types.get(i).cpus(), at + "cpus");
      source.requirePositive(types.get(i).fetchGbPerS(), at + "fetch_gb_per_s");
      source.requirePositive(types.get(i).price(), at + "price");
      source.requirePositive(types.get(i).bootS(), at + "boot_s");
      source.requirePositive(types.get(i).share(), at + "share");
    }
  }

  private void checkClasses(List<LoadTestSettings.JobClass> classes)
      throws InvalidSettingsException {
    source.requireAtLeast(classes.size(), 1, "classes");
    for (int i = 0; i < classes.size(); i++) {
      String at = "classes[" + i + "].";
      LoadTestSettings.JobClass jobClass = classes.get(i);
      source.requireOneOf(jobClass.kind(), JOB_KINDS, at + "kind");
      source.requireOneOf(jobClass.priority(), PRIORITIES, at + "priority");
      source.requireAtLeast(jobClass.tasks(), 1, at + "tasks");
      source.requireAtLeast(jobClass.images(), 1, at + "images");
      source.requireAtLeast(jobClass.first(), 0, at + "first");
      source.requireAtLeast(jobClass.perS(), 0, at + "per_s");
      source.requireAtLeast(jobClass.peakPerS(), 0, at + "peak_per_s");
      if (jobClass.kind().equals("array")) {
        source.requirePositive(jobClass.runS(), at + "run_s");
      }
    }
  }

  private void checkFaults(LoadTestSettings settings) throws InvalidSettingsException {
    List<LoadTestSettings.Fault> faults = settings.troubles();
    for (int i = 0; i < faults.size(); i++) {
      String at = "troubles[" + i + "].";
      LoadTestSettings.Fault fault = faults.get(i);
      source.requireOneOf(fault.kind(), FAULT_KINDS, at + "kind");
      source.requireAtLeast(fault.forS(), 0, at + "for_s");
      source.requireAtLeast(fault.cell(), 0, at + "cell");
      if (fault.cell() >= settings.cells().count()) {
        throw source.invalidField(at + "cell", "there are fewer cells");
      }
      if (fault.atS() < 0 || fault.atS() > settings.runS()) {
        throw source.invalidField(at + "at_s", "not within run_s");
      }
    }
  }
}
