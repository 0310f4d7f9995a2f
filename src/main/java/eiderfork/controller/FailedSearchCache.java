package eiderfork.controller;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What searches have proved to find no room, zone by zone. While no machine gets more room, what
 * takes as much or more, on the same kinds of machine, finds none either and is not searched for:
 * hundreds of jobs of a few sizes wait for a full fleet, and searches for each once took the whole
 * processor.
 */
final class FailedSearchCache {
  /** The kinds of machine that were searched. */
  private record SearchScope(ImmutableSet<String> types, boolean spot, String zone) {
    boolean contains(MachineState machine) {
      return zone.equals(machine.zone())
          && (types == null || types.contains(machine.spec().type()))
          && (spot || !machine.spec().spot());
    }
  }

  private final Map<SearchScope, List<Resources>> smallestFailed = new HashMap<>();

  /** Counts the proofs that were given up, so that what was concluded from them can be, too. */
  private long retractions;

  void clear() {
    retractions++;
    smallestFailed.clear();
  }

  /** A task of this job fits on none of the machines that it may have in the zone. */
  void recordFailure(Job job, String zone) {
    List<Resources> sizes =
        smallestFailed.computeIfAbsent(
            new SearchScope(job.allowedTypes(), job.spotAllowed(), zone), w -> new ArrayList<>());
    sizes.removeIf(size -> job.taskResources().fitsIn(size));
    sizes.add(job.taskResources());
  }

  /** Whether it was proved that a task of this job fits nowhere in the zone. */
  boolean isRuledOut(Job job, String zone) {
    List<Resources> sizes =
        smallestFailed.get(new SearchScope(job.allowedTypes(), job.spotAllowed(), zone));
    if (sizes == null) {
      return false;
    }
    for (Resources size : sizes) {
      if (size.fitsIn(job.taskResources())) {
        return true;
      }
    }
    return false;
  }

  /** Gives up what a machine with more room than before may contradict. */
  void capacityIncreased(MachineState machine) {
    for (Map.Entry<SearchScope, List<Resources>> each : smallestFailed.entrySet()) {
      if (each.getKey().contains(machine)
          && each.getValue().removeIf(size -> size.fitsIn(machine.freeCapacity()))) {
        retractions++;
      }
    }
  }

  /** Stays as it is while every proof holds. */
  long retractions() {
    return retractions;
  }
}
