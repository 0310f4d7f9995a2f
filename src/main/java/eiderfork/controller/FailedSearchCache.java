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
  private record Where(ImmutableSet<String> types, boolean spot, String zone) {
    boolean has(MachineState m) {
      return zone.equals(m.zone())
          && (types == null || types.contains(m.machine.type()))
          && (spot || !m.machine.spot());
    }
  }

  private final Map<Where, List<Resources>> smallest = new HashMap<>();

  /** Counts the proofs that were given up, so that what was concluded from them can be, too. */
  private long givenUp;

  void clear() {
    givenUp++;
    smallest.clear();
  }

  /** A task of this job fits on none of the machines that it may have in the zone. */
  void note(Job job, String zone) {
    List<Resources> sizes =
        smallest.computeIfAbsent(new Where(job.types(), job.spot(), zone), w -> new ArrayList<>());
    sizes.removeIf(size -> job.need().fitsIn(size));
    sizes.add(job.need());
  }

  /** Whether it was proved that a task of this job fits nowhere in the zone. */
  boolean knows(Job job, String zone) {
    List<Resources> sizes = smallest.get(new Where(job.types(), job.spot(), zone));
    if (sizes == null) {
      return false;
    }
    for (Resources size : sizes) {
      if (size.fitsIn(job.need())) {
        return true;
      }
    }
    return false;
  }

  /** Gives up what a machine with more room than before may contradict. */
  void grew(MachineState m) {
    for (Map.Entry<Where, List<Resources>> each : smallest.entrySet()) {
      if (each.getKey().has(m) && each.getValue().removeIf(size -> size.fitsIn(m.free()))) {
        givenUp++;
      }
    }
  }

  /** Stays as it is while every proof holds. */
  long givenUp() {
    return givenUp;
  }
}
