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
  private static final int LEVELS = 65;

  /** The machines of one kind. */
  private static final class Group {
    final CloudProvisioner.Kind kind;
    final RoaringBitmap[] byFreeCpus = new RoaringBitmap[LEVELS];
    final RoaringBitmap[] byFreeGpus = new RoaringBitmap[LEVELS];
    int machines;

    Group(CloudProvisioner.Kind kind) {
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
  static final class Place {
    private final Group group;
    private int cpuLevel;
    private int gpuLevel;

    private Place(Group group) {
      this.group = group;
    }
  }

  private final Map<CloudProvisioner.Kind, Group> groups = new LinkedHashMap<>();
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
  void grew(MachineState m) {
    if (m.place != null) {
      failedSearches.grew(m);
    }
  }

  /** How many machines there are. */
  int size() {
    return size;
  }

  /** The zones that have machines. */
  Set<String> zones() {
    Set<String> zones = new LinkedHashSet<>();
    for (Group group : groups.values()) {
      if (group.machines > 0) {
        zones.add(group.kind.zone());
      }
    }
    return zones;
  }

  /** Takes a machine up, or what has changed of its free room. */
  void put(MachineState m) {
    Resources free = m.free();
    int cpuLevel = level(free.cpus());
    int gpuLevel = level(free.gpus());
    Place place = m.place;
    if (place == null) {
      place = new Place(group(m));
      place.group.machines++;
      size++;
      m.place = place;
    } else if (place.cpuLevel == cpuLevel && place.gpuLevel == gpuLevel) {
      return;
    } else {
      take(place, m.number);
    }
    place.cpuLevel = cpuLevel;
    place.gpuLevel = gpuLevel;
    Group.add(place.group.byFreeCpus, cpuLevel, m.number);
    Group.add(place.group.byFreeGpus, gpuLevel, m.number);
  }

  void remove(MachineState m) {
    if (m.place != null) {
      take(m.place, m.number);
      m.place.group.machines--;
      size--;
      m.place = null;
    }
  }

  private static void take(Place place, int number) {
    place.group.byFreeCpus[place.cpuLevel].remove(number);
    place.group.byFreeGpus[place.gpuLevel].remove(number);
  }

  private Group group(MachineState m) {
    CloudProvisioner.Kind kind =
        new CloudProvisioner.Kind(m.machine.type(), m.machine.zone(), m.machine.spot());
    return groups.computeIfAbsent(kind, Group::new);
  }

  private static int level(double amount) {
    return (int) Math.max(0, Math.min(LEVELS - 1, Math.floor(amount + Resources.DUST)));
  }

  /** Names every machine in these zones that may have room for a task of the job. */
  void forEachCandidate(Job job, Collection<String> zones, IntConsumer taker) {
    Resources need = job.need();
    boolean byGpus = need.gpus() > 0;
    int least = level(byGpus ? need.gpus() : need.cpus());
    for (Group group : groups.values()) {
      CloudProvisioner.Kind kind = group.kind;
      if (!zones.contains(kind.zone())
          || !job.allowsType(kind.type())
          || kind.spot() && !job.spot()) {
        continue;
      }
      RoaringBitmap[] levels = byGpus ? group.byFreeGpus : group.byFreeCpus;
      for (int i = least; i < LEVELS; i++) {
        if (levels[i] != null) {
          levels[i].forEach((org.roaringbitmap.IntConsumer) taker::accept);
        }
      }
    }
  }
}
