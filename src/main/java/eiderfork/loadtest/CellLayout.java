package eiderfork.loadtest;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.Team;

/** What a cell consists of by the run's file: its zones, machine types and teams. */
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
    for (LoadTestSettings.MachineKind it : settings.machineTypes()) {
      types.add(
          new MachineType(
              it.name(),
              new Resources(it.cpus(), it.gpus(), it.ramGb()),
              it.cacheGb(),
              it.fetchGbPerS(),
              it.price(),
              it.price(),
              it.bootS(),
              zones.build()));
    }
    return types.build();
  }

  /** The teams, with equal limits and guarantees. */
  ImmutableMap<String, Team> teams() {
    double cpus = 0;
    double gpus = 0;
    for (LoadTestSettings.MachineKind it : settings.machineTypes()) {
      cpus += it.cpus() * it.share() * settings.cells().workers();
      gpus += it.gpus() * it.share() * settings.cells().workers();
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
