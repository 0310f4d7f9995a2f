package eiderfork.controller.scheduling;

import eiderfork.controller.registry.AllocationSizeLimit;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Schedules gangs all-or-nothing: places all tasks of a gang at once, preempts for all of them, or
 * does neither.
 */
final class GangScheduler {
  private static final Logger LOG = LoggerFactory.getLogger(GangScheduler.class);

  private final JobRegistry jobs;
  private final FreeCapacity capacity;
  private final MachineSearchFactory searches;
  private final AllocationSizeLimitFactory sizeLimits;
  private final RoundUsage usage;
  private final QuotaBorrowing borrowing;
  private final PreemptionBudget preemptionBudget;

  GangScheduler(
      JobRegistry jobs,
      FreeCapacity capacity,
      MachineSearchFactory searches,
      AllocationSizeLimitFactory sizeLimits,
      RoundUsage usage,
      QuotaBorrowing borrowing,
      PreemptionBudget preemptionBudget) {
    this.jobs = jobs;
    this.capacity = capacity;
    this.searches = searches;
    this.sizeLimits = sizeLimits;
    this.usage = usage;
    this.borrowing = borrowing;
    this.preemptionBudget = preemptionBudget;
  }

  /** Proposes reservations for all tasks of the gang, or requests preemption for all of them. */
  void place(JobState job, PreemptionPlanner preemptionPlanner, SearchConstraints constraints) {
    Job spec = job.spec();
    Resources usedWithGang = usage.used(spec.team()).plus(spec.taskResources().times(spec.tasks()));
    if (!job.gang().canStartAttempt()
        || borrowing.isGangCoolingDown(job)
        || !usage.isWithinLimit(spec.team(), usedWithGang)) {
      return;
    }
    List<CapacityClaim> claims = capacity.releaseClaims(job);
    if (tryPlace(job, constraints)) {
      usage.record(spec.team(), usedWithGang);
    } else if (!claims.isEmpty()) {
      claims.forEach(capacity::addClaim);
    } else if (preemptionBudget.isAvailable()) {
      tryPreempt(job, preemptionPlanner);
    }
  }

  private boolean tryPlace(JobState job, SearchConstraints constraints) {
    AllocationSizeLimit sizeLimit = sizeLimits.create(job);
    for (Map<String, Integer> tasksByZone : initialZoneCounts(job)) {
      if (hasCapacityForAll(job, tasksByZone, constraints)
          && tryPlaceAll(job, tasksByZone, sizeLimit, constraints)) {
        return true;
      }
    }
    return false;
  }

  private void tryPreempt(JobState job, PreemptionPlanner preemptionPlanner) {
    for (Map<String, Integer> tasksByZone : initialZoneCounts(job)) {
      if (preemptionPlanner.preemptForGang(job, tasksByZone)) {
        return;
      }
    }
  }

  /**
   * Returns the initial task counts per zone for each search to try. A single-zone gang gets one
   * entry per zone, tried in turn, because the zone with the best machine for the first task may
   * lack capacity for the rest.
   */
  private List<Map<String, Integer>> initialZoneCounts(JobState job) {
    List<Map<String, Integer>> candidates = new ArrayList<>();
    if (!job.spec().singleZone()) {
      candidates.add(new HashMap<>());
      return candidates;
    }
    for (String zone : capacity.eligibleZones(job, Map.of())) {
      Map<String, Integer> tasksByZone = new HashMap<>();
      tasksByZone.put(zone, 0);
      candidates.add(tasksByZone);
    }
    return candidates;
  }

  /**
   * Returns whether the free capacity is enough for all tasks; checked before any machine is
   * scored.
   */
  private boolean hasCapacityForAll(
      JobState job, Map<String, Integer> tasksByZone, SearchConstraints constraints) {
    Job spec = job.spec();
    Map<String, Integer> fittingByZone = new HashMap<>();
    for (MachineState machine :
        capacity.candidates(spec, capacity.eligibleZones(job, tasksByZone))) {
      capacity.countExamination();
      Resources free = capacity.freeOn(machine, job, constraints.excludesReclaimed());
      int fitting = free.countFitting(spec.taskResources());
      if (fitting > 0
          && capacity.isUsable(machine)
          && capacity.isAllowed(job, machine, tasksByZone)) {
        fittingByZone.merge(machine.zone(), Math.min(fitting, spec.tasks()), Integer::sum);
      }
    }
    int total = 0;
    for (int fitting : fittingByZone.values()) {
      total += Math.min(fitting, spec.maxTasksPerZone());
    }
    return total >= spec.tasks();
  }

  private boolean tryPlaceAll(
      JobState job,
      Map<String, Integer> tasksByZone,
      AllocationSizeLimit sizeLimit,
      SearchConstraints constraints) {
    long attempt = job.nextAttemptNumber();
    List<Reservation> proposed = new ArrayList<>();
    MachineSearch search = searches.create(job, tasksByZone, false, constraints);
    for (int index = 0; index < job.spec().tasks(); index++) {
      MachineState machine = search.bestMachine();
      if (machine == null || !sizeLimit.fits(index, attempt, machine.name())) {
        proposed.forEach(jobs::withdrawProposal);
        return false;
      }
      proposed.add(jobs.propose(job, index, attempt, machine));
      sizeLimit.add(index, attempt, machine.name());
      tasksByZone.merge(machine.zone(), 1, Integer::sum);
      search.taskPlaced();
    }
    LOG.debug(
        "gang-placed job={} jobClass={} attempt={}",
        job.spec().uid(),
        job.spec().jobClass(),
        attempt);
    return true;
  }
}
