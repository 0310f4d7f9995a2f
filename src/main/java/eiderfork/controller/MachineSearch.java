package eiderfork.controller;

import eiderfork.model.Resources;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The search for machines for the tasks of one job. They are all alike, so each machine is looked
 * at once, and again only after it has taken a task.
 */
final class MachineSearch {
  private record Found(MachineState machine, double score) {
    int order() {
      return machine.number;
    }
  }

  /** How many machines a sample has for each task. */
  private static final int SAMPLE = 8;

  private final FreeCapacity room;
  private final MachineScorer score;
  private final JobState entry;
  private final SearchConstraints limits;
  private final Map<String, Integer> perZone;
  private final PriorityQueue<Found> found =
      new PriorityQueue<>(Comparator.comparingDouble(Found::score).thenComparingInt(Found::order));

  /** Not every machine was looked at, so that nothing found is no proof of no room. */
  final boolean sampled;

  /** Zones in which some machine has room for a task. */
  private final Set<String> roomy = new HashSet<>();

  /**
   * @param random draws the sample
   * @param mostExamined past this many looks in a round only a sample of the machines is searched
   * @param believe whether what other jobs' searches proved holds for this one; room that was
   *     claimed for it is not in that
   * @param limits which free room is left alone
   */
  MachineSearch(
      FreeCapacity room,
      MachineScorer score,
      RandomGenerator random,
      double mostExamined,
      JobState entry,
      Map<String, Integer> perZone,
      boolean believe,
      SearchConstraints limits) {
    this.room = room;
    this.limits = limits;
    this.score = score;
    this.entry = entry;
    this.perZone = perZone;
    Set<String> open = room.openZones(entry, perZone);
    if (believe) {
      open.removeIf(zone -> room.failedSearches().knows(entry.job, zone));
    }
    if (believe && limits.any()) {
      open.removeIf(zone -> room.limitedSearches(limits).knows(entry.job, zone));
    }
    if (open.isEmpty()) {
      sampled = false;
      return;
    }
    List<MachineState> all = room.candidates(entry.job, open);
    int sample = SAMPLE * entry.waiting.cardinality();
    sampled = room.examined() > mostExamined && all.size() > sample;
    if (sampled) {
      for (int i = 0; i < sample; i++) {
        Collections.swap(all, i, i + random.nextInt(all.size() - i));
      }
      all = all.subList(0, sample);
    }
    for (MachineState m : all) {
      look(m);
    }
    if (!sampled) {
      open.stream()
          .filter(z -> !roomy.contains(z))
          .forEach(z -> room.failedSearches().note(entry.job, z));
      if (limits.any() && found.isEmpty()) {
        open.forEach(z -> room.limitedSearches(limits).note(entry.job, z));
      }
    }
  }

  private void look(MachineState m) {
    room.countExamined();
    Resources left = room.of(m);
    if (!entry.job.need().fitsIn(left) || !PlacementConstraints.kindAllowed(entry.job, m)) {
      return;
    }
    if (!room.isUsable(m)) {
      m.passedOver = true;
      return;
    }
    roomy.add(m.zone());
    if (limits.sparesGpus() && score.strandsGpus(left) || !fitsBesideLoans(m)) {
      return;
    }
    if (room.allowed(entry, m, perZone)) {
      found.add(new Found(m, score.of(m, left)));
    }
  }

  private boolean fitsBesideLoans(MachineState m) {
    return !limits.borrows() || entry.job.need().fitsIn(room.of(m, entry, true));
  }

  /** The best machine for one more task, or null where none fits. */
  MachineState best() {
    // A zone that is full for this job stays so, since its tasks only grow in number.
    while (!found.isEmpty()
        && !(room.allowed(entry, found.peek().machine, perZone)
            && entry.job.need().fitsIn(room.of(found.peek().machine, entry, limits.borrows())))) {
      found.remove();
    }
    return found.isEmpty() ? null : found.peek().machine;
  }

  /** The best machine has taken a task. */
  void taken() {
    Found best = found.remove();
    look(best.machine);
  }
}
