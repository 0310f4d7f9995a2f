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

/** The claims on capacity of all machines, in the order in which they were made. */
final class CapacityClaims {
  private final List<CapacityClaim> claims = new ArrayList<>();

  /** What the claims take of each machine that has any. */
  private final Map<MachineState, Resources> claimedByMachine = new Reference2ObjectOpenHashMap<>();

  private long revision;

  /** Grows with each claim that is made or ends. */
  long revision() {
    return revision;
  }

  /** All claims. */
  List<CapacityClaim> all() {
    return Collections.unmodifiableList(claims);
  }

  /** Ends all claims. */
  void clear() {
    revision++;
    claims.clear();
    claimedByMachine.clear();
  }

  /** Makes a claim. */
  void add(CapacityClaim claim) {
    revision++;
    claims.add(claim);
    claimedByMachine.merge(claim.machine(), demand(claim), Resources::plus);
  }

  /** Removes the claims that do not satisfy the condition, and returns them. */
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

  /** Removes the claims of a job, and returns them. */
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
      // Repeated sums of decimal amounts would leave a rounding error behind.
      claimedByMachine.remove(claim.machine());
    }
  }

  private static Resources demand(CapacityClaim claim) {
    return claim.job().spec().taskResources();
  }

  /** What claims take of a machine, or null. */
  Resources claimedOn(MachineState machine) {
    return claimedByMachine.get(machine);
  }

  /** Whether the job has claims. */
  boolean hasAny(JobState job) {
    for (CapacityClaim claim : claims) {
      if (claim.job() == job) {
        return true;
      }
    }
    return false;
  }

  /** Whether the job has a claim on this machine. */
  boolean hasAny(JobState job, MachineState machine) {
    return claims.stream().anyMatch(claim -> claim.job() == job && claim.machine() == machine);
  }
}
