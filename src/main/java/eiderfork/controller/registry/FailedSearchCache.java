package eiderfork.controller.registry;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Searches that have found no machine, zone by zone. As long as no machine gets more free capacity,
 * a task that takes as much or more on the same kinds of machine fits nowhere either and needs no
 * search: hundreds of jobs of a few sizes wait for a full fleet.
 */
public final class FailedSearchCache {
  /** The machines that were searched. */
  private record SearchScope(ImmutableSet<String> types, boolean spot, String zone) {
    static SearchScope of(Job spec, String zone) {
      return new SearchScope(spec.allowedTypes(), spec.spotAllowed(), zone);
    }

    boolean contains(MachineState machine) {
      return zone.equals(machine.zone())
          && (types == null || types.contains(machine.spec().type()))
          && (spot || !machine.spec().spot());
    }
  }

  /** The sizes that fit nowhere, of which none includes another. */
  private final Map<SearchScope, List<Resources>> smallestFailed = new HashMap<>();

  /** Counts what is no longer known, so that conclusions from it can be dropped, too. */
  private long retractions;

  /** Forgets all searches. */
  void clear() {
    retractions++;
    smallestFailed.clear();
  }

  /** Records that a task of this job fits on none of the machines that it may use in the zone. */
  public void recordFailure(Job spec, String zone) {
    List<Resources> sizes =
        smallestFailed.computeIfAbsent(SearchScope.of(spec, zone), scope -> new ArrayList<>());
    sizes.removeIf(size -> spec.taskResources().fitsIn(size));
    sizes.add(spec.taskResources());
  }

  /** Whether it is known that a task of this job fits nowhere in the zone. */
  public boolean isRuledOut(Job spec, String zone) {
    List<Resources> sizes = smallestFailed.get(SearchScope.of(spec, zone));
    if (sizes == null) {
      return false;
    }
    for (Resources size : sizes) {
      if (size.fitsIn(spec.taskResources())) {
        return true;
      }
    }
    return false;
  }

  /** Forgets what the free capacity of this machine contradicts. */
  void capacityIncreased(MachineState machine) {
    for (Map.Entry<SearchScope, List<Resources>> entry : smallestFailed.entrySet()) {
      if (entry.getKey().contains(machine)
          && entry.getValue().removeIf(size -> size.fitsIn(machine.freeCapacity()))) {
        retractions++;
      }
    }
  }

  /** Grows whenever something is no longer known. */
  long retractions() {
    return retractions;
  }
}
