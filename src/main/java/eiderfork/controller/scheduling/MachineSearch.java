package eiderfork.controller.scheduling;

import eiderfork.controller.registry.FailedSearchCache;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
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
 * Searches for machines for the tasks of one job. Since the tasks are identical, each machine is
 * examined once, and again only after a task was placed on it.
 */
final class MachineSearch {
  private record Candidate(MachineState machine, double score) {
    int machineNumber() {
      return machine.number();
    }
  }

  private static final int SAMPLED_MACHINES_PER_TASK = 8;

  private final FreeCapacity capacity;
  private final MachineScorer scorer;
  private final JobState job;
  private final SearchConstraints constraints;
  private final Map<String, Integer> tasksByZone;
  private final PriorityQueue<Candidate> candidates =
      new PriorityQueue<>(
          Comparator.comparingDouble(Candidate::score).thenComparingInt(Candidate::machineNumber));

  private final boolean isSampled;

  /** Zones with a machine that has enough free capacity for a task. */
  private final Set<String> zonesWithCapacity = new HashSet<>();

  /**
   * Examines the machines that may have room for a task.
   *
   * @param random the source of randomness for sampling
   * @param maxExaminations the number of machine examinations in a round beyond which only a sample
   *     is examined
   * @param tasksByZone the job's task count in each zone; the caller increases it for each placed
   *     task
   * @param useFailedSearches whether to skip zones in which searches of other jobs have failed; not
   *     valid for a job whose own claims were just released
   */
  MachineSearch(
      FreeCapacity capacity,
      MachineScorer scorer,
      RandomGenerator random,
      double maxExaminations,
      JobState job,
      Map<String, Integer> tasksByZone,
      boolean useFailedSearches,
      SearchConstraints constraints) {
    this.capacity = capacity;
    this.scorer = scorer;
    this.job = job;
    this.tasksByZone = tasksByZone;
    this.constraints = constraints;
    Set<String> zones = capacity.eligibleZones(job, tasksByZone);
    if (useFailedSearches) {
      removeFailedZones(zones);
    }
    if (zones.isEmpty()) {
      isSampled = false;
      return;
    }
    List<MachineState> machines = capacity.candidates(job.spec(), zones);
    int sampleSize = SAMPLED_MACHINES_PER_TASK * job.pendingTaskCount();
    isSampled = capacity.examinations() > maxExaminations && machines.size() > sampleSize;
    if (isSampled) {
      sample(machines, sampleSize, random).forEach(this::examine);
    } else {
      machines.forEach(this::examine);
      recordFailures(zones);
    }
  }

  private void removeFailedZones(Set<String> zones) {
    zones.removeIf(zone -> capacity.failedSearches().isRuledOut(job.spec(), zone));
    if (constraints.isRestricted()) {
      FailedSearchCache restricted = capacity.failedRestrictedSearches(constraints);
      zones.removeIf(zone -> restricted.isRuledOut(job.spec(), zone));
    }
  }

  private static List<MachineState> sample(
      List<MachineState> machines, int size, RandomGenerator random) {
    for (int i = 0; i < size; i++) {
      Collections.swap(machines, i, i + random.nextInt(machines.size() - i));
    }
    return machines.subList(0, size);
  }

  private void recordFailures(Set<String> zones) {
    for (String zone : zones) {
      if (!zonesWithCapacity.contains(zone)) {
        capacity.failedSearches().recordFailure(job.spec(), zone);
      }
    }
    if (constraints.isRestricted() && candidates.isEmpty()) {
      FailedSearchCache restricted = capacity.failedRestrictedSearches(constraints);
      zones.forEach(zone -> restricted.recordFailure(job.spec(), zone));
    }
  }

  private void examine(MachineState machine) {
    capacity.countExamination();
    Resources free = capacity.freeOn(machine);
    if (!job.spec().taskResources().fitsIn(free)
        || !PlacementConstraints.isMachineAllowed(job.spec(), machine)) {
      return;
    }
    if (!capacity.isUsable(machine)) {
      machine.onSkippedBySearch();
      return;
    }
    zonesWithCapacity.add(machine.zone());
    if (isAllowedByConstraints(machine, free) && capacity.isAllowed(job, machine, tasksByZone)) {
      candidates.add(new Candidate(machine, scorer.score(machine, free)));
    }
  }

  private boolean isAllowedByConstraints(MachineState machine, Resources free) {
    boolean takesHeadroom = constraints.keepsGpuHeadroom() && scorer.wouldStrandGpus(free);
    return !takesHeadroom && (!constraints.excludesReclaimed() || fitsIn(machine));
  }

  private boolean fitsIn(MachineState machine) {
    Resources free = capacity.freeOn(machine, job, constraints.excludesReclaimed());
    return job.spec().taskResources().fitsIn(free);
  }

  /**
   * Returns whether only a sample was examined, in which case an empty result does not prove that
   * no machine fits.
   */
  boolean isSampled() {
    return isSampled;
  }

  /** Returns the best machine for one more task, or null if none fits. */
  MachineState bestMachine() {
    // A zone that reached the job's limit stays ineligible, since the job's task counts only grow
    // during a search.
    while (!candidates.isEmpty() && !canTakeTask(candidates.peek().machine)) {
      candidates.remove();
    }
    return candidates.isEmpty() ? null : candidates.peek().machine;
  }

  private boolean canTakeTask(MachineState machine) {
    return capacity.isAllowed(job, machine, tasksByZone) && fitsIn(machine);
  }

  /**
   * Removes the best machine from the candidates after a task was placed on it, and examines it
   * again.
   */
  void taskPlaced() {
    Candidate best = candidates.remove();
    examine(best.machine);
  }
}
