package eiderfork.controller.registry;

import eiderfork.model.Job;
import eiderfork.model.MachineKind;
import eiderfork.model.Resources;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import org.roaringbitmap.RoaringBitmap;

/**
 * An index of the machines that have sent a heartbeat, by kind and free capacity, so that a search
 * examines only those on which a task may fit. Each candidate still has to be checked: levels are
 * whole CPUs and GPUs, and a machine may be unreachable or about to be deleted.
 */
public final class CapacityIndex {
  /** The number of levels of free CPUs and of free GPUs; the last one holds all larger amounts. */
  private static final int LEVEL_COUNT = 65;

  /** The machines of one kind. */
  private static final class MachineGroup {
    private final MachineKind kind;
    private final RoaringBitmap[] byFreeCpus = new RoaringBitmap[LEVEL_COUNT];
    private final RoaringBitmap[] byFreeGpus = new RoaringBitmap[LEVEL_COUNT];
    private int machineCount;

    MachineGroup(MachineKind kind) {
      this.kind = kind;
    }

    private static void add(RoaringBitmap[] levels, int level, int number) {
      if (levels[level] == null) {
        levels[level] = new RoaringBitmap();
      }
      levels[level].add(number);
    }
  }

  /** The position of a machine in the index. */
  static final class Position {
    private final MachineGroup group;
    private int cpuLevel;
    private int gpuLevel;

    private Position(MachineGroup group) {
      this.group = group;
    }
  }

  private final Map<MachineKind, MachineGroup> groups = new LinkedHashMap<>();
  private final FailedSearchCache failedSearches = new FailedSearchCache();
  private int size;

  /** Removes all machines. */
  void clear() {
    groups.clear();
    failedSearches.clear();
    size = 0;
  }

  /** The failed searches that would still fail now. */
  public FailedSearchCache failedSearches() {
    return failedSearches;
  }

  /**
   * Invalidates failed searches after a machine's free capacity has increased or it became usable
   * again.
   */
  public void capacityIncreased(MachineState machine) {
    if (machine.indexPosition() != null) {
      failedSearches.capacityIncreased(machine);
    }
  }

  /** The number of indexed machines. */
  public int size() {
    return size;
  }

  /** The zones that have machines. */
  public Set<String> zones() {
    Set<String> zones = new LinkedHashSet<>();
    for (MachineGroup group : groups.values()) {
      if (group.machineCount > 0) {
        zones.add(group.kind.zone());
      }
    }
    return zones;
  }

  /** Adds a machine, or moves it to the levels of its free capacity. */
  void update(MachineState machine) {
    Resources free = machine.freeCapacity();
    int cpuLevel = levelOf(free.cpus());
    int gpuLevel = levelOf(free.gpus());
    Position position = machine.indexPosition();
    if (position == null) {
      position = new Position(groupOf(machine));
      position.group.machineCount++;
      size++;
      machine.onIndexed(position);
    } else if (position.cpuLevel == cpuLevel && position.gpuLevel == gpuLevel) {
      return;
    } else {
      removeFromLevels(position, machine.number());
    }
    position.cpuLevel = cpuLevel;
    position.gpuLevel = gpuLevel;
    MachineGroup.add(position.group.byFreeCpus, cpuLevel, machine.number());
    MachineGroup.add(position.group.byFreeGpus, gpuLevel, machine.number());
  }

  /** Removes a machine that no longer exists. */
  void remove(MachineState machine) {
    if (machine.indexPosition() != null) {
      removeFromLevels(machine.indexPosition(), machine.number());
      machine.indexPosition().group.machineCount--;
      size--;
      machine.onUnindexed();
    }
  }

  private static void removeFromLevels(Position position, int number) {
    position.group.byFreeCpus[position.cpuLevel].remove(number);
    position.group.byFreeGpus[position.gpuLevel].remove(number);
  }

  private MachineGroup groupOf(MachineState machine) {
    MachineKind kind =
        new MachineKind(machine.spec().type(), machine.spec().zone(), machine.spec().spot());
    return groups.computeIfAbsent(kind, MachineGroup::new);
  }

  private static int levelOf(double amount) {
    return (int)
        Math.max(0, Math.min(LEVEL_COUNT - 1, Math.floor(amount + Resources.ROUNDING_TOLERANCE)));
  }

  /**
   * Passes to {@code consumer} the number of each machine in these zones on which a task of the job
   * may fit.
   */
  public void forEachCandidate(Job spec, Collection<String> eligibleZones, IntConsumer consumer) {
    Resources demand = spec.taskResources();
    boolean byGpus = demand.gpus() > 0;
    int minLevel = levelOf(byGpus ? demand.gpus() : demand.cpus());
    for (MachineGroup group : groups.values()) {
      if (!isEligible(group.kind, spec, eligibleZones)) {
        continue;
      }
      RoaringBitmap[] levels = byGpus ? group.byFreeGpus : group.byFreeCpus;
      for (int level = minLevel; level < LEVEL_COUNT; level++) {
        if (levels[level] != null) {
          levels[level].forEach((org.roaringbitmap.IntConsumer) consumer::accept);
        }
      }
    }
  }

  private static boolean isEligible(MachineKind kind, Job spec, Collection<String> eligibleZones) {
    return eligibleZones.contains(kind.zone())
        && spec.allowsType(kind.type())
        && (spec.spotAllowed() || !kind.spot());
  }
}
