package eiderfork.controller;

import eiderfork.model.Job;
import eiderfork.model.Resources;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import org.roaringbitmap.RoaringBitmap;

/**
 * Machines that have reported, by kind and by what is free on them: a search looks only where a
 * task may fit. What is found still has to be checked, since levels are whole processors and GPUs
 * and a machine may be silent or on its way back to the cloud.
 */
final class CapacityIndex {
  /** Free processors and GPUs are told apart up to this number; the last level has all above. */
  private static final int LEVEL_COUNT = 65;

  /** The machines of one kind. */
  private static final class MachineGroup {
    final CloudProvisioner.MachineKind kind;
    final RoaringBitmap[] byFreeCpus = new RoaringBitmap[LEVEL_COUNT];
    final RoaringBitmap[] byFreeGpus = new RoaringBitmap[LEVEL_COUNT];
    int machineCount;

    MachineGroup(CloudProvisioner.MachineKind kind) {
      this.kind = kind;
    }

    private static void add(RoaringBitmap[] levels, int level, int number) {
      if (levels[level] == null) {
        levels[level] = new RoaringBitmap();
      }
      levels[level].add(number);
    }
  }

  /** Where a machine stands in the index. */
  static final class Position {
    private final MachineGroup group;
    private int cpuLevel;
    private int gpuLevel;

    private Position(MachineGroup group) {
      this.group = group;
    }
  }

  private final Map<CloudProvisioner.MachineKind, MachineGroup> groups = new LinkedHashMap<>();
  private final FailedSearchCache failedSearches = new FailedSearchCache();
  private int size;

  void clear() {
    groups.clear();
    failedSearches.clear();
    size = 0;
  }

  /** Searches that found no room, and would find none now. */
  FailedSearchCache failedSearches() {
    return failedSearches;
  }

  /** A machine has more room than before, or may be used again. */
  void capacityIncreased(MachineState machine) {
    if (machine.indexPosition != null) {
      failedSearches.capacityIncreased(machine);
    }
  }

  /** How many machines there are. */
  int size() {
    return size;
  }

  /** The zones that have machines. */
  Set<String> zones() {
    Set<String> zones = new LinkedHashSet<>();
    for (MachineGroup group : groups.values()) {
      if (group.machineCount > 0) {
        zones.add(group.kind.zone());
      }
    }
    return zones;
  }

  /** Takes a machine up, or what has changed of its free room. */
  void update(MachineState machine) {
    Resources free = machine.freeCapacity();
    int cpuLevel = levelOf(free.cpus());
    int gpuLevel = levelOf(free.gpus());
    Position place = machine.indexPosition;
    if (place == null) {
      place = new Position(groupOf(machine));
      place.group.machineCount++;
      size++;
      machine.indexPosition = place;
    } else if (place.cpuLevel == cpuLevel && place.gpuLevel == gpuLevel) {
      return;
    } else {
      removeFromLevels(place, machine.number);
    }
    place.cpuLevel = cpuLevel;
    place.gpuLevel = gpuLevel;
    MachineGroup.add(place.group.byFreeCpus, cpuLevel, machine.number);
    MachineGroup.add(place.group.byFreeGpus, gpuLevel, machine.number);
  }

  void remove(MachineState machine) {
    if (machine.indexPosition != null) {
      removeFromLevels(machine.indexPosition, machine.number);
      machine.indexPosition.group.machineCount--;
      size--;
      machine.indexPosition = null;
    }
  }

  private static void removeFromLevels(Position place, int number) {
    place.group.byFreeCpus[place.cpuLevel].remove(number);
    place.group.byFreeGpus[place.gpuLevel].remove(number);
  }

  private MachineGroup groupOf(MachineState machine) {
    CloudProvisioner.MachineKind kind =
        new CloudProvisioner.MachineKind(
            machine.spec.type(), machine.spec.zone(), machine.spec.spot());
    return groups.computeIfAbsent(kind, MachineGroup::new);
  }

  private static int levelOf(double amount) {
    return (int)
        Math.max(0, Math.min(LEVEL_COUNT - 1, Math.floor(amount + Resources.ROUNDING_TOLERANCE)));
  }

  /** Names every machine in these zones that may have room for a task of the job. */
  void forEachCandidate(Job job, Collection<String> eligibleZones, IntConsumer consumer) {
    Resources demand = job.taskResources();
    boolean byGpus = demand.gpus() > 0;
    int least = levelOf(byGpus ? demand.gpus() : demand.cpus());
    for (MachineGroup group : groups.values()) {
      CloudProvisioner.MachineKind kind = group.kind;
      if (!eligibleZones.contains(kind.zone())
          || !job.allowsType(kind.type())
          || kind.spot() && !job.spotAllowed()) {
        continue;
      }
      RoaringBitmap[] levels = byGpus ? group.byFreeGpus : group.byFreeCpus;
      for (int i = least; i < LEVEL_COUNT; i++) {
        if (levels[i] != null) {
          levels[i].forEach((org.roaringbitmap.IntConsumer) consumer::accept);
        }
      }
    }
  }
}
