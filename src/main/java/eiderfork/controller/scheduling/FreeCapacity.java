package eiderfork.controller.scheduling;

import eiderfork.controller.registry.CapacityIndex;
import eiderfork.controller.registry.FailedSearchCache;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.Job;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The free capacity of machines after reservations and claims. Within a round it only shrinks,
 * except when claims or reservations are withdrawn.
 */
final class FreeCapacity {
  private final MachineRegistry fleet;
  private final Predicate<MachineState> usableFilter;
  private final Predicate<MachineState> claimableFilter;
  private final BorrowedCapacity borrowedCapacity;
  private final CapacityClaims claims = new CapacityClaims();

  /**
   * The failed searches of this round that had additional constraints, by those constraints. They
   * are discarded after the round because capacity that a constraint excludes can become usable
   * without any increase of capacity.
   */
  private final Map<SearchConstraints, FailedSearchCache> failedRestrictedSearches =
      new HashMap<>();

  /** The machines usable in this round; null until requested. */
  private List<MachineState> usableMachines;

  private int examinations;
  private long nowMs;

  /**
   * Creates a view of the fleet with no claims.
   *
   * @param usableFilter tests whether tasks may be placed on a machine now
   * @param claimableFilter tests whether claims on a machine are kept
   * @param borrowedCapacity determines the capacity that is withheld from borrowers
   */
  FreeCapacity(
      MachineRegistry fleet,
      Predicate<MachineState> usableFilter,
      Predicate<MachineState> claimableFilter,
      BorrowedCapacity borrowedCapacity) {
    this.fleet = fleet;
    this.usableFilter = usableFilter;
    this.claimableFilter = claimableFilter;
    this.borrowedCapacity = borrowedCapacity;
  }

  /** Begins a round: drops claims that are expired or no longer needed. */
  void beginRound(long nowMs) {
    usableMachines = null;
    examinations = 0;
    this.nowMs = nowMs;
    failedRestrictedSearches.clear();
    for (CapacityClaim endedClaim : claims.retain(this::isClaimValid)) {
      index().capacityIncreased(endedClaim.machine());
    }
  }

  private boolean isClaimValid(CapacityClaim claim) {
    JobState job = claim.job();
    return (claim.untilMs() > nowMs || borrowedCapacity.isWritePending(job))
        && !job.isTerminal()
        && job.hasPendingTasks()
        && fleet.get(claim.machine().name()) == claim.machine()
        && claimableFilter.test(claim.machine());
  }

  /** Discards the claims of the previous leadership term. */
  void clear() {
    usableMachines = null;
    claims.clear();
  }

  /** Adds a claim, which withholds its capacity from other jobs. */
  void addClaim(CapacityClaim claim) {
    claims.add(claim);
  }

  /** Releases and returns the claims of a job, so that its capacity can be used. */
  List<CapacityClaim> releaseClaims(JobState job) {
    List<CapacityClaim> released = claims.remove(job);
    released.forEach(claim -> index().capacityIncreased(claim.machine()));
    return released;
  }

  /** Returns whether the job has any claim. */
  boolean hasClaims(JobState job) {
    return claims.hasAny(job);
  }

  /** Returns whether the job has a claim on this machine. */
  boolean hasClaim(JobState job, MachineState machine) {
    return claims.hasAny(job, machine);
  }

  List<CapacityClaim> claims() {
    return claims.all();
  }

  /** Returns a counter that increases whenever a claim is added or removed. */
  long claimRevision() {
    return claims.revision();
  }

  /** Returns whether failed searches rule out every zone for a task of this job. */
  boolean isRuledOutInAllZones(Job spec) {
    for (String zone : index().zones()) {
      if (!failedSearches().isRuledOut(spec, zone)) {
        return false;
      }
    }
    return true;
  }

  private CapacityIndex index() {
    return fleet.indexes().capacityIndex();
  }

  /** Returns all usable machines in registration order. */
  List<MachineState> usableMachines() {
    if (usableMachines == null) {
      usableMachines = new ArrayList<>();
      for (MachineState machine : fleet.machines()) {
        if (isUsable(machine)) {
          usableMachines.add(machine);
        }
      }
    }
    return usableMachines;
  }

  /** Returns the machines in these zones that may have room for a task of the job. */
  List<MachineState> candidates(Job spec, Collection<String> zones) {
    List<MachineState> candidates = new ArrayList<>();
    index().forEachCandidate(spec, zones, number -> candidates.add(fleet.get(number)));
    return candidates;
  }

  /** Returns whether tasks may be placed on the machine now. */
  boolean isUsable(MachineState machine) {
    return usableFilter.test(machine);
  }

  /** Returns the machine's capacity that is neither reserved nor claimed. */
  Resources freeOn(MachineState machine) {
    Resources claimed = claims.claimedOn(machine);
    return claimed == null ? machine.freeCapacity() : machine.freeCapacity().minus(claimed);
  }

  /**
   * Returns the machine's capacity that is neither reserved nor claimed and that the job may use.
   *
   * @param excludesReclaimed whether the job borrows quota, so that recently reclaimed capacity is
   *     withheld from it
   */
  Resources freeOn(MachineState machine, JobState job, boolean excludesReclaimed) {
    Resources free = freeOn(machine);
    return excludesReclaimed ? free.minus(borrowedCapacity.withheldFrom(job, machine)) : free;
  }

  /** Returns the cache of failed searches without additional constraints. */
  FailedSearchCache failedSearches() {
    return index().failedSearches();
  }

  /** Returns this round's cache of failed searches with the given constraints. */
  FailedSearchCache failedRestrictedSearches(SearchConstraints constraints) {
    return failedRestrictedSearches.computeIfAbsent(
        constraints, searched -> new FailedSearchCache());
  }

  /** Counts one examination of a machine for a job. */
  void countExamination() {
    examinations++;
  }

  /** Returns the number of machine examinations in this round. */
  int examinations() {
    return examinations;
  }

  /** Returns the zones that may take one more task of the job. */
  Set<String> eligibleZones(JobState job, Map<String, Integer> tasksByZone) {
    Job spec = job.spec();
    Set<String> zones = new LinkedHashSet<>();
    for (String zone : index().zones()) {
      if (spec.allowsZone(zone)
          && PlacementConstraints.canZoneAccept(spec, zone, tasksByZone, spec.maxTasksPerZone())) {
        zones.add(zone);
      }
    }
    return zones;
  }

  /**
   * Returns whether the job's constraints allow one more task on this machine; does not check
   * capacity.
   */
  boolean isAllowed(JobState job, MachineState machine, Map<String, Integer> tasksByZone) {
    Job spec = job.spec();
    return PlacementConstraints.isMachineAllowed(spec, machine)
        && !isAvoided(job, machine)
        && PlacementConstraints.canZoneAccept(
            spec, machine.zone(), tasksByZone, spec.maxTasksPerZone());
  }

  /**
   * Returns whether the job avoids this machine because it failed there, and has other machines to
   * run on.
   */
  private boolean isAvoided(JobState job, MachineState machine) {
    return job.failureHistory().isAvoided(machine.name(), nowMs)
        && job.failureHistory().failedMachines().size() < index().size();
  }
}
