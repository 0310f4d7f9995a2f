package eiderfork.loadtest;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.Team;

/** The zones, machine types and teams of a cell, derived from the load test's settings. */
final class CellLayout {
  /** A team's limit and guarantee, as multiples of an equal share of the cell. */
  private static final double LIMIT_SHARES = 2;

  private static final double GUARANTEE_SHARES = 0.5;

  private final LoadTestSettings settings;
  private final int number;

  CellLayout(LoadTestSettings settings, int number) {
    this.settings = settings;
    this.number = number;
  }

  /** The name of one of the cell's zones. */
  String zone(int index) {
    return "region-" + number + "-zone-" + index;
  }

  /** The machine types, each of them in every zone. */
  ImmutableList<MachineType> types() {
    ImmutableList.Builder<String> zones = ImmutableList.builder();
    for (int i = 0; i < settings.cells().zones(); i++) {
      zones.add(zone(i));
    }
    ImmutableList.Builder<MachineType> types = ImmutableList.builder();
    for (LoadTestSettings.MachineKind kind : settings.machineTypes()) {
      types.add(
          new MachineType(
              kind.name(),
              new Resources(kind.cpus(), kind.gpus(), kind.ramGb()),
              kind.cacheGb(),
              kind.fetchGbPerS(),
              kind.price(),
              kind.price(),
              kind.bootS(),
              zones.build()));
    }
    return types.build();
  }

  /** The teams, with equal limits and guarantees. */
  ImmutableMap<String, Team> teams() {
    double cpus = 0;
    double gpus = 0;
    for (LoadTestSettings.MachineKind kind : settings.machineTypes()) {
      cpus += kind.cpus() * kind.share() * settings.cells().workers();
      gpus += kind.gpus() * kind.share() * settings.cells().workers();
    }
    double cpuShare = Math.ceil(cpus / settings.cells().teams());
    double gpuShare = Math.ceil(gpus / settings.cells().teams());
    ImmutableMap.Builder<String, Team> teams = ImmutableMap.builder();
    for (int i = 0; i < settings.cells().teams(); i++) {
      String name = "team-" + i;
      teams.put(
          name,
          new Team(
              name,
              cpuShare * GUARANTEE_SHARES,
              cpuShare * LIMIT_SHARES,
              gpuShare * GUARANTEE_SHARES,
              gpuShare * LIMIT_SHARES));
    }
    return teams.buildOrThrow();
  }
}
