package eiderfork.controller;

import eiderfork.model.Job;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Finds room for all tasks of a gang at once, or reserves nothing. */
final class GangScheduler {
  private static final Logger LOG = LoggerFactory.getLogger(GangScheduler.class);

  private final JobRegistry jobs;
  private final FreeCapacity capacity;
  private final RandomGenerator random;
  private final double maxFullSearchExaminations;

  /**
   * @param maxFullSearchExaminations past this many looks at machines in a round a search takes a
   *     sample
   */
  GangScheduler(
      JobRegistry jobs,
      FreeCapacity capacity,
      RandomGenerator random,
      double maxFullSearchExaminations) {
    this.jobs = jobs;
    this.capacity = capacity;
    this.random = random;
    this.maxFullSearchExaminations = maxFullSearchExaminations;
  }

  /** Proposes reservations for the whole gang; whether there was room for it. */
  boolean place(
      JobState job,
      MachineScorer scorer,
      AllocationSizeLimit stored,
      SearchConstraints restrictions) {
    for (Map<String, Integer> tasksByZone : zoneCandidates(job)) {
      if (hasCapacityForAll(job, tasksByZone, restrictions)
          && placeInZones(tasksByZone, job, scorer, stored, restrictions)) {
        return true;
      }
    }
    return false;
  }

  /** Has room made for the whole gang; whether that is under way. */
  boolean preempt(JobState job, PreemptionPlanner preemption) {
    for (Map<String, Integer> tasksByZone : zoneCandidates(job)) {
      if (preemption.preemptForGang(job, tasksByZone)) {
        return true;
      }
    }
    return false;
  }

  /**
   * The tasks that each zone holds, to begin a search with. A gang that has to be in one zone is
   * tried in one after the other: the best machine for its first task may stand where the others
   * find no room.
   */
  private List<Map<String, Integer>> zoneCandidates(JobState job) {
    List<Map<String, Integer>> choices = new ArrayList<>();
    if (!job.spec.singleZone()) {
      choices.add(new HashMap<>());
      return choices;
    }
    for (String zone : capacity.eligibleZones(job, Map.of())) {
      Map<String, Integer> tasksByZone = new HashMap<>();
      tasksByZone.put(zone, 0);
      choices.add(tasksByZone);
    }
    return choices;
  }

  /** Whether the machines have room for every task, before any of them is looked at closely. */
  private boolean hasCapacityForAll(
      JobState entry, Map<String, Integer> tasksByZone, SearchConstraints restrictions) {
    Job job = entry.spec;
    Map<String, Integer> fitting = new HashMap<>();
    for (MachineState machine :
        capacity.candidates(job, capacity.eligibleZones(entry, tasksByZone))) {
      capacity.countExamined();
      int fits =
          capacity
              .freeOn(machine, entry, restrictions.excludesReclaimed())
              .countFitting(job.taskResources());
      if (fits > 0
          && capacity.isUsable(machine)
          && capacity.isAllowed(entry, machine, tasksByZone)) {
        fitting.merge(machine.zone(), Math.min(fits, job.tasks()), Integer::sum);
      }
    }
    int total = 0;
    for (int tasks : fitting.values()) {
      total += Math.min(tasks, job.maxTasksPerZone());
    }
    return total >= job.tasks();
  }

  private boolean placeInZones(
      Map<String, Integer> tasksByZone,
      JobState job,
      MachineScorer scorer,
      AllocationSizeLimit stored,
      SearchConstraints restrictions) {
    long attempt = job.nextAttemptNumber();
    List<Reservation> proposed = new ArrayList<>();
    MachineSearch search =
        new MachineSearch(
            capacity,
            scorer,
            random,
            maxFullSearchExaminations,
            job,
            tasksByZone,
            false,
            restrictions);
    for (int index = 0; index < job.spec.tasks(); index++) {
      MachineState machine = search.bestMachine();
      if (machine == null || !stored.fits(index, attempt, machine.name())) {
        proposed.forEach(jobs::withdrawProposal);
        return false;
      }
      proposed.add(jobs.propose(job, index, attempt, machine));
      stored.add(index, attempt, machine.name());
      tasksByZone.merge(machine.zone(), 1, Integer::sum);
      search.taskPlaced();
    }
    LOG.debug("gang {} of {}: attempt {}", job.spec.uid(), job.spec.jobClass(), attempt);
    return true;
  }
}
