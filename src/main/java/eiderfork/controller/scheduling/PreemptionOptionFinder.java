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

/** Finds the tasks of a machine whose end or migration costs least and lets a task of a job fit. */
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

  /** How often a machine was examined, as the host of victims or as the target of a migration. */
  int examinations() {
    return examinations + migrations.examinations();
  }

  /** The cheapest option on a machine, or null where no task of the job can be made to fit. */
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

  /** The free capacity once all has ended that is being stopped already. */
  private Resources freeAfterPendingStops(JobState job, MachineState machine) {
    // What is withheld from borrowers must not be claimed for one, or nobody could use it.
    Resources free = capacity.freeOn(machine, job, policy.isBorrowing(job));
    for (Reservation reservation : machine.reservations()) {
      if (policy.isFreeingCapacity(reservation)) {
        free = free.plus(reservation.job().spec().taskResources());
      }
    }
    return free;
  }

  /** The tasks of a machine that may have to leave for the job, the cheapest first. */
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

  /** Drops cheap victims that are not needed beside the larger ones that were chosen last. */
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

  /**
   * What the wait for the image throws away, in seconds of the task's work weighted by its size.
   */
  private double imageWaitCost(Job spec, MachineState machine) {
    return imageFetch.waitS(spec, machine) * cpusPerGpu.gpuWeight(spec.taskResources());
  }
}
