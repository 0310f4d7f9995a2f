package eiderfork.controller.registry;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A cache of searches that found no machine, by zone. Until some machine gets more free capacity, a
 * task that needs at least as much on the same kinds of machine does not fit either and needs no
 * search. This matters when hundreds of jobs of a few sizes wait for a full fleet.
 */
public final class FailedSearchCache {
  /** The set of machines that a search covers. */
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

  /** The smallest task sizes that fit nowhere; a size is dropped once a smaller one is added. */
  private final Map<SearchScope, List<Resources>> smallestFailed = new HashMap<>();

  /**
   * The number of invalidations, so that results derived from the cache can be invalidated, too.
   */
  private long invalidationCount;

  /** Removes all searches. */
  void clear() {
    invalidationCount++;
    smallestFailed.clear();
  }

  /** Records that a task of this job fits on no machine that it may use in the zone. */
  public void recordFailure(Job spec, String zone) {
    List<Resources> sizes =
        smallestFailed.computeIfAbsent(SearchScope.of(spec, zone), scope -> new ArrayList<>());
    sizes.removeIf(size -> spec.taskResources().fitsIn(size));
    sizes.add(spec.taskResources());
  }

  /** Returns whether a task of this job is known to fit nowhere in the zone. */
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

  /** Removes the failed searches that would succeed with the free capacity of this machine. */
  void capacityIncreased(MachineState machine) {
    for (Map.Entry<SearchScope, List<Resources>> entry : smallestFailed.entrySet()) {
      if (entry.getKey().contains(machine)
          && entry.getValue().removeIf(size -> size.fitsIn(machine.freeCapacity()))) {
        invalidationCount++;
      }
    }
  }

  /** The number of invalidations so far. */
  long invalidationCount() {
    return invalidationCount;
  }
}
