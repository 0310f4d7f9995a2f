package eiderfork.controller;

import eiderfork.model.Job;
import eiderfork.model.Resources;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The room that machines have left beside the claims on it. Within a round it only shrinks, apart
 * from claims and reservations that are taken back.
 */
final class FreeCapacity {
  /** Room on a machine that is being made for a job; nobody else may take it meanwhile. */
  record Claim(JobState job, MachineState machine, long untilMs) {}

  private final MachineRegistry fleet;
  private final Predicate<MachineState> usableFilter;

  private final Predicate<MachineState> claimableFilter;
  private final BorrowedCapacity borrowedCapacity;

  /** Counts the changes of claims. */
  private long claimRevision;

  /** What claims take of the machines that have any. */
  private final Map<MachineState, Resources> claimedByMachine = new Reference2ObjectOpenHashMap<>();

  private final List<Claim> claims = new ArrayList<>();

  /**
   * What the searches of this round that leave some of the free room alone have proved, by what
   * they leave. It holds for no longer: the room that they find also grows where GPUs are taken.
   */
  private final Map<SearchConstraints, FailedSearchCache> failedRestrictedSearches =
      new HashMap<>();

  /** The machines that may be used in this round; null until they are asked for. */
  private List<MachineState> usableMachines;

  private int examinedMachines;
  private long nowMs;

  /**
   * @param usableFilter whether tasks may be placed on a machine now
   * @param claimableFilter whether room that is being made on a machine may still be waited for
   * @param borrowedCapacity what of a machine's room is kept from borrowers
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
    examinedMachines = 0;
    this.nowMs = nowMs;
    failedRestrictedSearches.clear();
    List<Claim> open = List.copyOf(claims);
    claims.clear();
    claimedByMachine.clear();
    claimRevision++;
    for (Claim claim : open) {
      boolean lives =
          (claim.untilMs > nowMs || borrowedCapacity.isWritePending(claim.job))
              && !claim.job.isTerminal()
              && !claim.job.pendingTasks.isEmpty()
              && fleet.get(claim.machine.name) == claim.machine
              && claimableFilter.test(claim.machine);
      if (lives) {
        addClaim(claim);
      } else {
        index().capacityIncreased(claim.machine);
      }
    }
  }

  /** Forgets everything of a term that is over. */
  void clear() {
    usableMachines = null;
    claims.clear();
    claimedByMachine.clear();
  }

  void addClaim(Claim claim) {
    claimRevision++;
    claims.add(claim);
    claimedByMachine.merge(claim.machine, claim.job.spec.taskResources(), Resources::plus);
  }

  /** Opens the room claimed for a job to it, and returns the claims. */
  List<Claim> releaseClaims(JobState job) {
    List<Claim> own = new ArrayList<>();
    for (Iterator<Claim> all = claims.iterator(); all.hasNext(); ) {
      Claim claim = all.next();
      if (claim.job == job) {
        all.remove();
        claimRevision++;
        own.add(claim);
        returnCapacity(claim);
      }
    }
    return own;
  }

  boolean hasClaims(JobState job) {
    for (Claim claim : claims) {
      if (claim.job == job) {
        return true;
      }
    }
    return false;
  }

  /** Whether room on this machine is claimed for the job. */
  boolean hasClaim(JobState job, MachineState machine) {
    return claims.stream().anyMatch(claim -> claim.job == job && claim.machine == machine);
  }

  /** All claims. */
  List<Claim> claims() {
    return claims;
  }

  /** Stays as it is while no claim is made or ends. */
  long claimRevision() {
    return claimRevision;
  }

  /** Whether searches have proved that a task of this job fits nowhere. */
  boolean isKnownFull(Job job) {
    for (String zone : index().zones()) {
      if (!failedSearches().isRuledOut(job, zone)) {
        return false;
      }
    }
    return true;
  }

  private void returnCapacity(Claim claim) {
    boolean others = claims.stream().anyMatch(it -> it.machine == claim.machine);
    if (others) {
      claimedByMachine.merge(claim.machine, claim.job.spec.taskResources(), Resources::minus);
    } else {
      claimedByMachine.remove(claim.machine);
    }
    index().capacityIncreased(claim.machine);
  }

  private CapacityIndex index() {
    return fleet.indexes().capacityIndex();
  }

  /** All machines that may be used, in the order in which they became known. */
  List<MachineState> usableMachines() {
    if (usableMachines == null) {
      usableMachines = new ArrayList<>();
      for (MachineState machine : fleet.machines()) {
        if (usableFilter.test(machine)) {
          usableMachines.add(machine);
        }
      }
    }
    return usableMachines;
  }

  /** The machines in these zones on which a task of the job may find room. */
  List<MachineState> candidates(Job job, Collection<String> zones) {
    List<MachineState> found = new ArrayList<>();
    index().forEachCandidate(job, zones, number -> found.add(fleet.get(number)));
    return found;
  }

  boolean isUsable(MachineState machine) {
    return usableFilter.test(machine);
  }

  /** What neither reservations nor claims take. */
  Resources freeOn(MachineState machine) {
    Resources taken = claimedByMachine.get(machine);
    return taken == null ? machine.freeCapacity() : machine.freeCapacity().minus(taken);
  }

  /** The same, without what is kept from this job where it borrows. */
  Resources freeOn(MachineState machine, JobState job, boolean excludesReclaimed) {
    return excludesReclaimed
        ? freeOn(machine).minus(borrowedCapacity.withheldFrom(job, machine))
        : freeOn(machine);
  }

  /** What searches have proved to find no room. */
  FailedSearchCache failedSearches() {
    return index().failedSearches();
  }

  /** What searches of this round that leave some room alone have proved to find no room. */
  FailedSearchCache failedRestrictedSearches(SearchConstraints restrictions) {
    return failedRestrictedSearches.computeIfAbsent(restrictions, l -> new FailedSearchCache());
  }

  /** Counts a look at a machine for a job. */
  void countExamined() {
    examinedMachines++;
  }

  /** How often a machine was looked at for a job in this round. */
  int examinedMachines() {
    return examinedMachines;
  }

  /** The zones that may take one more task of a job. */
  Set<String> eligibleZones(JobState entry, Map<String, Integer> tasksByZone) {
    Job job = entry.spec;
    Set<String> open = new LinkedHashSet<>();
    for (String zone : index().zones()) {
      if (job.allowsZone(zone)
          && PlacementConstraints.canZoneAccept(job, zone, tasksByZone, job.maxTasksPerZone())) {
        open.add(zone);
      }
    }
    return open;
  }

  /** Whether the job may have one more task on this machine, if there is room. */
  boolean isAllowed(JobState entry, MachineState machine, Map<String, Integer> tasksByZone) {
    Job job = entry.spec;
    if (!PlacementConstraints.isMachineAllowed(job, machine)) {
      return false;
    }
    if (entry.failureHistory.isAvoided(machine.name, nowMs)
        && entry.failureHistory.failedMachines().size() < index().size()) {
      return false;
    }
    return PlacementConstraints.canZoneAccept(
        job, machine.zone(), tasksByZone, job.maxTasksPerZone());
  }
}
