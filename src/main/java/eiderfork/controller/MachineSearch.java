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
  private record Candidate(MachineState machine, double score) {
    int machineNumber() {
      return machine.number();
    }
  }

  /** How many machines a sample has for each task. */
  private static final int SAMPLE_PER_TASK = 8;

  private final FreeCapacity capacity;
  private final MachineScorer scorer;
  private final JobState job;
  private final SearchConstraints restrictions;
  private final Map<String, Integer> tasksByZone;
  private final PriorityQueue<Candidate> candidates =
      new PriorityQueue<>(
          Comparator.comparingDouble(Candidate::score).thenComparingInt(Candidate::machineNumber));

  /** Not every machine was looked at, so that nothing found is no proof of no room. */
  final boolean sampled;

  /** Zones in which some machine has room for a task. */
  private final Set<String> zonesWithCapacity = new HashSet<>();

  /**
   * @param random draws the sample
   * @param maxExaminations past this many looks in a round only a sample of the machines is
   *     searched
   * @param believe whether what other jobs' searches proved holds for this one; room that was
   *     claimed for it is not in that
   * @param restrictions which free room is left alone
   */
  MachineSearch(
      FreeCapacity capacity,
      MachineScorer scorer,
      RandomGenerator random,
      double maxExaminations,
      JobState job,
      Map<String, Integer> tasksByZone,
      boolean believe,
      SearchConstraints restrictions) {
    this.capacity = capacity;
    this.restrictions = restrictions;
    this.scorer = scorer;
    this.job = job;
    this.tasksByZone = tasksByZone;
    Set<String> open = capacity.eligibleZones(job, tasksByZone);
    if (believe) {
      open.removeIf(zone -> capacity.failedSearches().isRuledOut(job.spec, zone));
    }
    if (believe && restrictions.isRestricted()) {
      open.removeIf(
          zone -> capacity.failedRestrictedSearches(restrictions).isRuledOut(job.spec, zone));
    }
    if (open.isEmpty()) {
      sampled = false;
      return;
    }
    List<MachineState> all = capacity.candidates(job.spec, open);
    int sample = SAMPLE_PER_TASK * job.pendingTaskCount();
    sampled = capacity.examinedMachines() > maxExaminations && all.size() > sample;
    if (sampled) {
      for (int i = 0; i < sample; i++) {
        Collections.swap(all, i, i + random.nextInt(all.size() - i));
      }
      all = all.subList(0, sample);
    }
    for (MachineState machine : all) {
      examine(machine);
    }
    if (!sampled) {
      open.stream()
          .filter(z -> !zonesWithCapacity.contains(z))
          .forEach(z -> capacity.failedSearches().recordFailure(job.spec, z));
      if (restrictions.isRestricted() && candidates.isEmpty()) {
        open.forEach(
            z -> capacity.failedRestrictedSearches(restrictions).recordFailure(job.spec, z));
      }
    }
  }

  private void examine(MachineState machine) {
    capacity.countExamined();
    Resources left = capacity.freeOn(machine);
    if (!job.spec.taskResources().fitsIn(left)
        || !PlacementConstraints.isMachineAllowed(job.spec, machine)) {
      return;
    }
    if (!capacity.isUsable(machine)) {
      machine.onSkippedBySearch();
      return;
    }
    zonesWithCapacity.add(machine.zone());
    if (restrictions.keepsGpuHeadroom() && scorer.wouldStrandGpus(left)
        || !fitsOutsideReclaimed(machine)) {
      return;
    }
    if (capacity.isAllowed(job, machine, tasksByZone)) {
      candidates.add(new Candidate(machine, scorer.score(machine, left)));
    }
  }

  private boolean fitsOutsideReclaimed(MachineState machine) {
    return !restrictions.excludesReclaimed()
        || job.spec.taskResources().fitsIn(capacity.freeOn(machine, job, true));
  }

  /** The best machine for one more task, or null where none fits. */
  MachineState bestMachine() {
    // A zone that is full for this job stays so, since its tasks only grow in number.
    while (!candidates.isEmpty()
        && !(capacity.isAllowed(job, candidates.peek().machine, tasksByZone)
            && job.spec
                .taskResources()
                .fitsIn(
                    capacity.freeOn(
                        candidates.peek().machine, job, restrictions.excludesReclaimed())))) {
      candidates.remove();
    }
    return candidates.isEmpty() ? null : candidates.peek().machine;
  }

  /** The best machine has taken a task. */
  void taskPlaced() {
    Candidate best = candidates.remove();
    examine(best.machine);
  }
}
