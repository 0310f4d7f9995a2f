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
  record Claim(JobState entry, MachineState machine, long untilMs) {}

  private final MachineRegistry fleet;
  private final Predicate<MachineState> usable;

  private final Predicate<MachineState> keepsClaims;
  private final BorrowedCapacity loans;

  /** Counts the changes of claims. */
  private long claimChanges;

  /** What claims take of the machines that have any. */
  private final Map<MachineState, Resources> claimed = new Reference2ObjectOpenHashMap<>();

  private final List<Claim> claims = new ArrayList<>();

  /**
   * What the searches of this round that leave some of the free room alone have proved, by what
   * they leave. It holds for no longer: the room that they find also grows where GPUs are taken.
   */
  private final Map<SearchConstraints, FailedSearchCache> limitedSearches = new HashMap<>();

  /** The machines that may be used in this round; null until they are asked for. */
  private List<MachineState> machines;

  private int examined;
  private long nowMs;

  /**
   * @param usable whether tasks may be placed on a machine now
   * @param keepsClaims whether room that is being made on a machine may still be waited for
   * @param loans what of a machine's room is kept from borrowers
   */
  FreeCapacity(
      MachineRegistry fleet,
      Predicate<MachineState> usable,
      Predicate<MachineState> keepsClaims,
      BorrowedCapacity loans) {
    this.fleet = fleet;
    this.usable = usable;
    this.keepsClaims = keepsClaims;
    this.loans = loans;
  }

  /** Begins a round: keeps the claims of earlier ones that are still of use. */
  void begin(long nowMs) {
    machines = null;
    examined = 0;
    this.nowMs = nowMs;
    limitedSearches.clear();
    List<Claim> open = List.copyOf(claims);
    claims.clear();
    claimed.clear();
    claimChanges++;
    for (Claim claim : open) {
      boolean lives =
          (claim.untilMs > nowMs || loans.mayNotTakeYet(claim.entry))
              && !claim.entry.over()
              && !claim.entry.waiting.isEmpty()
              && fleet.get(claim.machine.name) == claim.machine
              && keepsClaims.test(claim.machine);
      if (lives) {
        claim(claim);
      } else {
        index().grew(claim.machine);
      }
    }
  }

  /** Forgets everything of a term that is over. */
  void clear() {
    machines = null;
    claims.clear();
    claimed.clear();
  }

  void claim(Claim claim) {
    claimChanges++;
    claims.add(claim);
    claimed.merge(claim.machine, claim.entry.job.need(), Resources::plus);
  }

  /** Opens the room claimed for a job to it, and returns the claims. */
  List<Claim> takeClaims(JobState entry) {
    List<Claim> own = new ArrayList<>();
    for (Iterator<Claim> all = claims.iterator(); all.hasNext(); ) {
      Claim claim = all.next();
      if (claim.entry == entry) {
        all.remove();
        claimChanges++;
        own.add(claim);
        giveBack(claim);
      }
    }
    return own;
  }

  boolean hasClaims(JobState entry) {
    for (Claim claim : claims) {
      if (claim.entry == entry) {
        return true;
      }
    }
    return false;
  }

  /** Whether room on this machine is claimed for the job. */
  boolean hasClaim(JobState entry, MachineState m) {
    return claims.stream().anyMatch(claim -> claim.entry == entry && claim.machine == m);
  }

  /** All claims. */
  List<Claim> claims() {
    return claims;
  }

  /** Stays as it is while no claim is made or ends. */
  long claimChanges() {
    return claimChanges;
  }

  /** Whether searches have proved that a task of this job fits nowhere. */
  boolean knownFull(Job job) {
    for (String zone : index().zones()) {
      if (!failedSearches().knows(job, zone)) {
        return false;
      }
    }
    return true;
  }

  private void giveBack(Claim claim) {
    boolean others = claims.stream().anyMatch(it -> it.machine == claim.machine);
    if (others) {
      claimed.merge(claim.machine, claim.entry.job.need(), Resources::minus);
    } else {
      claimed.remove(claim.machine);
    }
    index().grew(claim.machine);
  }

  private CapacityIndex index() {
    return fleet.sets().roomIndex();
  }

  /** All machines that may be used, in the order in which they became known. */
  List<MachineState> machines() {
    if (machines == null) {
      machines = new ArrayList<>();
      for (MachineState m : fleet.machines()) {
        if (usable.test(m)) {
          machines.add(m);
        }
      }
    }
    return machines;
  }

  /** The machines in these zones on which a task of the job may find room. */
  List<MachineState> candidates(Job job, Collection<String> zones) {
    List<MachineState> found = new ArrayList<>();
    index().forEachCandidate(job, zones, number -> found.add(fleet.get(number)));
    return found;
  }

  boolean isUsable(MachineState m) {
    return usable.test(m);
  }

  /** What neither reservations nor claims take. */
  Resources of(MachineState m) {
    Resources taken = claimed.get(m);
    return taken == null ? m.free() : m.free().minus(taken);
  }

  /** The same, without what is kept from this job where it borrows. */
  Resources of(MachineState m, JobState entry, boolean borrows) {
    return borrows ? of(m).minus(loans.keptFrom(entry, m)) : of(m);
  }

  /** What searches have proved to find no room. */
  FailedSearchCache failedSearches() {
    return index().failedSearches();
  }

  /** What searches of this round that leave some room alone have proved to find no room. */
  FailedSearchCache limitedSearches(SearchConstraints limits) {
    return limitedSearches.computeIfAbsent(limits, l -> new FailedSearchCache());
  }

  /** Counts a look at a machine for a job. */
  void countExamined() {
    examined++;
  }

  /** How often a machine was looked at for a job in this round. */
  int examined() {
    return examined;
  }

  /** The zones that may take one more task of a job. */
  Set<String> openZones(JobState entry, Map<String, Integer> perZone) {
    Job job = entry.job;
    Set<String> open = new LinkedHashSet<>();
    for (String zone : index().zones()) {
      if (job.allowsZone(zone)
          && PlacementConstraints.zoneAccepts(job, zone, perZone, job.perZone())) {
        open.add(zone);
      }
    }
    return open;
  }

  /** Whether the job may have one more task on this machine, if there is room. */
  boolean allowed(JobState entry, MachineState m, Map<String, Integer> perZone) {
    Job job = entry.job;
    if (!PlacementConstraints.kindAllowed(job, m)) {
      return false;
    }
    if (entry.failures.avoids(m.name, nowMs) && entry.failures.machines().size() < index().size()) {
      return false;
    }
    return PlacementConstraints.zoneAccepts(job, m.zone(), perZone, job.perZone());
  }
}
