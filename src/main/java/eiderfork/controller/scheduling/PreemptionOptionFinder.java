package eiderfork.controller.scheduling;

import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.scheduling.PreemptionOption.Victim;
import eiderfork.model.Job;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Finds the cheapest set of tasks to preempt or migrate on a machine so that a task of a job fits.
 */
final class PreemptionOptionFinder {
  private final FreeCapacity capacity;
  private final ImageFetchEstimator imageFetch;
  private final CpusPerGpu cpusPerGpu;
  private final PreemptionPolicy policy;
  private final ReplicaMigration migrations;
  private int examinations;

  PreemptionOptionFinder(
      FreeCapacity capacity,
      ImageFetchEstimator imageFetch,
      CpusPerGpu cpusPerGpu,
      PreemptionPolicy policy,
      ReplicaMigration migrations) {
    this.capacity = capacity;
    this.imageFetch = imageFetch;
    this.cpusPerGpu = cpusPerGpu;
    this.policy = policy;
    this.migrations = migrations;
  }

  /**
   * Returns the number of examinations of machines, both as hosts of victims and as migration
   * targets.
   */
  int examinations() {
    return examinations + migrations.examinations();
  }

  /** Returns the cheapest option on a machine, or null if no task of the job can be made to fit. */
  PreemptionOption find(PreemptionRequest request, MachineState machine) {
    JobState job = request.job();
    Resources demand = job.spec().taskResources();
    examinations++;
    capacity.countExamination();
    migrations.beginOption();
    policy.beginOption();
    Resources free = freeAfterPendingStops(job, machine);
    List<Victim> victims = new ArrayList<>();
    for (Victim candidate : candidates(request, machine)) {
      if (demand.fitsIn(free)) {
        break;
      }
      if (tryInclude(request, candidate)) {
        free = free.plus(candidate.reservation().job().spec().taskResources());
        victims.add(candidate);
      }
    }
    if (!demand.fitsIn(free)) {
      return null;
    }
    dropUnneeded(demand, victims, free);
    return new PreemptionOption(machine, victims, cost(job.spec(), machine, victims));
  }

  /** Returns the free capacity after all tasks that are already being stopped have ended. */
  private Resources freeAfterPendingStops(JobState job, MachineState machine) {
    // Capacity withheld from borrowers must not be claimed for one, or it would stay unused.
    Resources free = capacity.freeOn(machine, job, policy.isBorrowing(job));
    for (Reservation reservation : machine.reservations()) {
      if (policy.isFreeingCapacity(reservation)) {
        free = free.plus(reservation.job().spec().taskResources());
      }
    }
    return free;
  }

  /**
   * Returns the tasks on a machine that may be preempted or migrated for the job, cheapest first.
   */
  private List<Victim> candidates(PreemptionRequest request, MachineState machine) {
    List<Victim> candidates = new ArrayList<>();
    for (Reservation reservation : machine.reservations()) {
      if (!policy.isFreeingCapacity(reservation)
          && reservation.isCommitted()
          && policy.canPreemptOn(machine)) {
        Victim candidate = candidate(request, reservation);
        if (candidate.cost() < ReplicaMigration.INFINITE_COST) {
          candidates.add(candidate);
        }
      }
    }
    candidates.sort(Comparator.comparingDouble(Victim::cost));
    return candidates;
  }

  private Victim candidate(PreemptionRequest request, Reservation reservation) {
    JobState job = request.job();
    PreemptionPolicy.TaskPreemption preemption =
        request.canPreemptTasks()
            ? policy.evaluate(job, reservation, request.maxPreference())
            : null;
    double cost =
        preemption == null
            ? migrations.cost(job.spec(), reservation, !request.canPreemptTasks())
            : preemption.cost();
    return new Victim(reservation, preemption, cost);
  }

  private boolean tryInclude(PreemptionRequest request, Victim victim) {
    return victim.isMigrated()
        ? migrations.tryReserveTarget(victim.reservation())
        : policy.tryInclude(request.job(), victim.preemption(), request.maxPreference());
  }

  /**
   * Drops victims that are no longer needed because later, more expensive ones free enough
   * capacity.
   */
  private static void dropUnneeded(Resources demand, List<Victim> victims, Resources free) {
    Resources remaining = free;
    for (Victim victim : List.copyOf(victims)) {
      Resources freeWithoutVictim =
          remaining.minus(victim.reservation().job().spec().taskResources());
      if (demand.fitsIn(freeWithoutVictim)) {
        remaining = freeWithoutVictim;
        victims.remove(victim);
      }
    }
  }

  private double cost(Job spec, MachineState machine, List<Victim> victims) {
    double cost = imageWaitCost(spec, machine);
    for (Victim victim : victims) {
      cost += victim.cost();
    }
    return cost;
  }

  /** Returns the cost of the image wait, in seconds of the task's work weighted by its size. */
  private double imageWaitCost(Job spec, MachineState machine) {
    return imageFetch.waitS(spec, machine) * cpusPerGpu.gpuWeight(spec.taskResources());
  }
}
