package eiderfork.core;

import eiderfork.model.Job;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The room that machines have left in a round, and the claims on it. Room only shrinks until the
 * next round begins, apart from claims and reservations that are taken back.
 */
final class RoundRoom {
  /** Room on a machine that is being made for a job; nobody else may take it meanwhile. */
  record Claim(JobEntry entry, MachineEntry machine, long untilMs) {}

  private final Map<MachineEntry, Resources> free = new LinkedHashMap<>();
  private final Set<String> zones = new LinkedHashSet<>();
  private final List<Claim> claims = new ArrayList<>();
  private final FailedSearches proved = new FailedSearches();
  private int examined;

  /** Forgets the last round's room, but not its claims. */
  void clear() {
    free.clear();
    zones.clear();
    proved.clear();
    examined = 0;
  }

  /** Adds the room of a machine that may be used in this round. */
  void add(MachineEntry m) {
    free.put(m, m.free());
    zones.add(m.zone());
  }

  /** Takes up the claims of earlier rounds that are still of use. */
  void renewClaims(long nowMs) {
    List<Claim> open = List.copyOf(claims);
    claims.clear();
    for (Claim claim : open) {
      boolean lives =
          claim.untilMs > nowMs
              && !claim.entry.over()
              && !claim.entry.waiting.isEmpty()
              && free.containsKey(claim.machine);
      if (lives) {
        claim(claim);
      }
    }
  }

  void claim(Claim claim) {
    claims.add(claim);
    take(claim.machine, claim.entry.job.need());
  }

  /** Opens the room claimed for a job to it, and returns the claims. */
  List<Claim> takeClaims(JobEntry entry) {
    List<Claim> own = new ArrayList<>();
    claims.removeIf(
        claim -> {
          if (claim.entry != entry) {
            return false;
          }
          giveBack(claim.machine, entry.job.need());
          return own.add(claim);
        });
    return own;
  }

  List<MachineEntry> machines() {
    return new ArrayList<>(free.keySet());
  }

  Resources of(MachineEntry m) {
    return free.get(m);
  }

  void take(MachineEntry m, Resources need) {
    free.merge(m, need, Resources::minus);
  }

  void giveBack(MachineEntry m, Resources need) {
    free.merge(m, need, Resources::plus);
  }

  /** What searches of this round have proved to find no room. */
  FailedSearches failedSearches() {
    return proved;
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
  Set<String> openZones(JobEntry entry, Map<String, Integer> perZone) {
    Job job = entry.job;
    Set<String> open = new LinkedHashSet<>();
    for (String zone : zones) {
      if (job.allowsZone(zone) && PlacementRules.zoneAccepts(job, zone, perZone, job.perZone())) {
        open.add(zone);
      }
    }
    return open;
  }

  /** Whether the job may have one more task on this machine, if there is room. */
  boolean allowed(JobEntry entry, MachineEntry m, Map<String, Integer> perZone) {
    Job job = entry.job;
    if (!PlacementRules.kindAllowed(job, m)) {
      return false;
    }
    if (entry.failedOn.contains(m.name) && entry.failedOn.size() < free.size()) {
      return false;
    }
    return PlacementRules.zoneAccepts(job, m.zone(), perZone, job.perZone());
  }
}
