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
 * The free capacity of machines beside the claims on it. Within a round it only shrinks, apart from
 * claims and reservations that are taken back.
 */
final class FreeCapacity {
  private final MachineRegistry fleet;
  private final Predicate<MachineState> usableFilter;
  private final Predicate<MachineState> claimableFilter;
  private final BorrowedCapacity borrowedCapacity;
  private final CapacityClaims claims = new CapacityClaims();

  /**
   * Failed searches of this round that had further constraints, by those. They are forgotten with
   * the round: what constraints withhold can become free without an increase of capacity.
   */
  private final Map<SearchConstraints, FailedSearchCache> failedRestrictedSearches =
      new HashMap<>();

  /** The machines that may be used in this round; null until they are requested. */
  private List<MachineState> usableMachines;

  private int examinations;
  private long nowMs;

  /**
   * Begins without claims.
   *
   * @param usableFilter whether tasks may be placed on a machine now
   * @param claimableFilter whether claims on a machine are kept
   * @param borrowedCapacity which capacity is withheld from borrowers
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

  /** Begins a round: keeps the claims of earlier ones that are still of use. */
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

  /** Forgets everything of a term that is over. */
  void clear() {
    usableMachines = null;
    claims.clear();
  }

  /** Keeps capacity for a job. */
  void addClaim(CapacityClaim claim) {
    claims.add(claim);
  }

  /** Ends the claims of a job, so that it can use the capacity, and returns them. */
  List<CapacityClaim> releaseClaims(JobState job) {
    List<CapacityClaim> released = claims.remove(job);
    released.forEach(claim -> index().capacityIncreased(claim.machine()));
    return released;
  }

  /** Whether the job has claims. */
  boolean hasClaims(JobState job) {
    return claims.hasAny(job);
  }

  /** Whether the job has a claim on this machine. */
  boolean hasClaim(JobState job, MachineState machine) {
    return claims.hasAny(job, machine);
  }

  /** All claims. */
  List<CapacityClaim> claims() {
    return claims.all();
  }

  /** Grows with each claim that is made or ends. */
  long claimRevision() {
    return claims.revision();
  }

  /** Whether searches have proved that a task of this job fits nowhere. */
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

  /** All machines that may be used, in the order in which they were registered. */
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

  /** The machines in these zones on which a task of the job may fit. */
  List<MachineState> candidates(Job spec, Collection<String> zones) {
    List<MachineState> candidates = new ArrayList<>();
    index().forEachCandidate(spec, zones, number -> candidates.add(fleet.get(number)));
    return candidates;
  }

  /** Whether tasks may be placed on the machine now. */
  boolean isUsable(MachineState machine) {
    return usableFilter.test(machine);
  }

  /** What neither reservations nor claims take. */
  Resources freeOn(MachineState machine) {
    Resources claimed = claims.claimedOn(machine);
    return claimed == null ? machine.freeCapacity() : machine.freeCapacity().minus(claimed);
  }

  /**
   * What neither reservations nor claims take, for one job.
   *
   * @param excludesReclaimed whether the job borrows, so that reclaimed capacity is withheld from
   *     it
   */
  Resources freeOn(MachineState machine, JobState job, boolean excludesReclaimed) {
    Resources free = freeOn(machine);
    return excludesReclaimed ? free.minus(borrowedCapacity.withheldFrom(job, machine)) : free;
  }

  /** The searches without further constraints that have failed. */
  FailedSearchCache failedSearches() {
    return index().failedSearches();
  }

  /** The searches of this round with these constraints that have failed. */
  FailedSearchCache failedRestrictedSearches(SearchConstraints constraints) {
    return failedRestrictedSearches.computeIfAbsent(
        constraints, searched -> new FailedSearchCache());
  }

  /** Counts that a machine is examined for a job. */
  void countExamination() {
    examinations++;
  }

  /** How often a machine was examined for a job in this round. */
  int examinations() {
    return examinations;
  }

  /** The zones that may take one more task of a job. */
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

  /** Whether the job may have one more task on this machine, if it fits. */
  boolean isAllowed(JobState job, MachineState machine, Map<String, Integer> tasksByZone) {
    Job spec = job.spec();
    return PlacementConstraints.isMachineAllowed(spec, machine)
        && !isAvoided(job, machine)
        && PlacementConstraints.canZoneAccept(
            spec, machine.zone(), tasksByZone, spec.maxTasksPerZone());
  }

  /** Whether the job failed on this machine, and has others to run on. */
  private boolean isAvoided(JobState job, MachineState machine) {
    return job.failureHistory().isAvoided(machine.name(), nowMs)
        && job.failureHistory().failedMachines().size() < index().size();
  }
}
