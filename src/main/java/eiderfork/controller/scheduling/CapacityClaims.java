package eiderfork.controller.scheduling;

import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.Resources;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The capacity claims on all machines, in creation order. */
final class CapacityClaims {
  private final List<CapacityClaim> claims = new ArrayList<>();

  /** The claimed resources of each machine that has claims. */
  private final Map<MachineState, Resources> claimedByMachine = new Reference2ObjectOpenHashMap<>();

  private long revision;

  /** Returns a counter that increases whenever a claim is added or removed. */
  long revision() {
    return revision;
  }

  List<CapacityClaim> all() {
    return Collections.unmodifiableList(claims);
  }

  void clear() {
    revision++;
    claims.clear();
    claimedByMachine.clear();
  }

  void add(CapacityClaim claim) {
    revision++;
    claims.add(claim);
    claimedByMachine.merge(claim.machine(), demand(claim), Resources::plus);
  }

  /** Removes and returns the claims that do not satisfy the condition. */
  List<CapacityClaim> retain(Predicate<CapacityClaim> condition) {
    List<CapacityClaim> before = List.copyOf(claims);
    List<CapacityClaim> removed = new ArrayList<>();
    clear();
    for (CapacityClaim claim : before) {
      if (condition.test(claim)) {
        add(claim);
      } else {
        removed.add(claim);
      }
    }
    return removed;
  }

  /** Removes and returns the claims of a job. */
  List<CapacityClaim> remove(JobState job) {
    List<CapacityClaim> removed = new ArrayList<>();
    for (Iterator<CapacityClaim> remaining = claims.iterator(); remaining.hasNext(); ) {
      CapacityClaim claim = remaining.next();
      if (claim.job() == job) {
        remaining.remove();
        revision++;
        removed.add(claim);
        subtract(claim);
      }
    }
    return removed;
  }

  private void subtract(CapacityClaim claim) {
    boolean hasOthers = claims.stream().anyMatch(other -> other.machine() == claim.machine());
    if (hasOthers) {
      claimedByMachine.merge(claim.machine(), demand(claim), Resources::minus);
    } else {
      // Repeated additions and subtractions of decimal amounts would leave a rounding error.
      claimedByMachine.remove(claim.machine());
    }
  }

  private static Resources demand(CapacityClaim claim) {
    return claim.job().spec().taskResources();
  }

  /** Returns the claimed resources of a machine, or null if it has no claims. */
  Resources claimedOn(MachineState machine) {
    return claimedByMachine.get(machine);
  }

  /** Returns whether the job has any claim. */
  boolean hasAny(JobState job) {
    for (CapacityClaim claim : claims) {
      if (claim.job() == job) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the job has a claim on this machine. */
  boolean hasAny(JobState job, MachineState machine) {
    return claims.stream().anyMatch(claim -> claim.job() == job && claim.machine() == machine);
  }
}
