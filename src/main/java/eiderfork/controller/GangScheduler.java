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
  private final FreeCapacity room;
  private final RandomGenerator random;
  private final double fullSearchMost;

  /**
   * @param fullSearchMost past this many looks at machines in a round a search takes a sample
   */
  GangScheduler(
      JobRegistry jobs, FreeCapacity room, RandomGenerator random, double fullSearchMost) {
    this.jobs = jobs;
    this.room = room;
    this.random = random;
    this.fullSearchMost = fullSearchMost;
  }

  /** Proposes reservations for the whole gang; whether there was room for it. */
  boolean place(
      JobState entry, MachineScorer score, AllocationSizeLimit stored, SearchConstraints limits) {
    for (Map<String, Integer> perZone : zoneChoices(entry)) {
      if (holdsAll(entry, perZone, limits) && placeIn(perZone, entry, score, stored, limits)) {
        return true;
      }
    }
    return false;
  }

  /** Has room made for the whole gang; whether that is under way. */
  boolean makeRoom(JobState entry, PreemptionPlanner preemption) {
    for (Map<String, Integer> perZone : zoneChoices(entry)) {
      if (preemption.makeRoomForAll(entry, perZone)) {
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
  private List<Map<String, Integer>> zoneChoices(JobState entry) {
    List<Map<String, Integer>> choices = new ArrayList<>();
    if (!entry.job.oneZone()) {
      choices.add(new HashMap<>());
      return choices;
    }
    for (String zone : room.openZones(entry, Map.of())) {
      Map<String, Integer> perZone = new HashMap<>();
      perZone.put(zone, 0);
      choices.add(perZone);
    }
    return choices;
  }

  /** Whether the machines have room for every task, before any of them is looked at closely. */
  private boolean holdsAll(JobState entry, Map<String, Integer> perZone, SearchConstraints limits) {
    Job job = entry.job;
    Map<String, Integer> fitting = new HashMap<>();
    for (MachineState machine : room.candidates(job, room.openZones(entry, perZone))) {
      room.countExamined();
      int fits = room.of(machine, entry, limits.borrows()).count(job.need());
      if (fits > 0 && room.isUsable(machine) && room.allowed(entry, machine, perZone)) {
        fitting.merge(machine.zone(), Math.min(fits, job.tasks()), Integer::sum);
      }
    }
    int total = 0;
    for (int tasks : fitting.values()) {
      total += Math.min(tasks, job.perZone());
    }
    return total >= job.tasks();
  }

  private boolean placeIn(
      Map<String, Integer> perZone,
      JobState entry,
      MachineScorer score,
      AllocationSizeLimit stored,
      SearchConstraints limits) {
    long attempt = entry.nextAttempt();
    List<Reservation> proposed = new ArrayList<>();
    MachineSearch search =
        new MachineSearch(room, score, random, fullSearchMost, entry, perZone, false, limits);
    for (int index = 0; index < entry.job.tasks(); index++) {
      MachineState machine = search.best();
      if (machine == null || !stored.fits(index, attempt, machine.name)) {
        proposed.forEach(jobs::withdraw);
        return false;
      }
      proposed.add(jobs.propose(entry, index, attempt, machine));
      stored.add(index, attempt, machine.name);
      perZone.merge(machine.zone(), 1, Integer::sum);
      search.taken();
    }
    LOG.debug("gang {} of {}: attempt {}", entry.job.uid(), entry.job.jobClass(), attempt);
    return true;
  }
}
