package eiderfork.core;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a round has proved to find no room, zone by zone. Room only shrinks within a round, so what
 * takes as much or more, on the same kinds of machine, finds none either and is not searched for:
 * hundreds of jobs of a few sizes wait for a full fleet, and searches for each once took the whole
 * processor.
 */
final class FailedSearches {
  /** The kinds of machine that were searched. */
  private record Where(ImmutableSet<String> types, boolean spot, String zone) {}

  private final Map<Where, List<Resources>> smallest = new HashMap<>();

  void clear() {
    smallest.clear();
  }

  /** A task of this job fits on none of the machines that it may have in the zone. */
  void note(Job job, String zone) {
    smallest
        .computeIfAbsent(new Where(job.types(), job.spot(), zone), w -> new ArrayList<>())
        .add(job.need());
  }

  /** Whether it was proved that a task of this job fits nowhere in the zone. */
  boolean knows(Job job, String zone) {
    List<Resources> sizes = smallest.get(new Where(job.types(), job.spot(), zone));
    return sizes != null && sizes.stream().anyMatch(size -> size.fitsIn(job.need()));
  }
}
