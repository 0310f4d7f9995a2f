package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.PlacementProfile;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds service replicas that may migrate to make room for a job, and their target machines. */
public final class ReplicaMigration {
  /** The run time below which a start does not count, according to the protocol. */
  public static final long MIN_COUNTED_RUN_MS = 30_000;

  /** The cost of a migration that is not allowed. */
  static final double INFINITE_COST = Double.MAX_VALUE;

  /** The time for which a migrating replica does not serve, in steps. */
  private static final double MIGRATION_STEPS = 2;

  /** The minimum run time of a replica before it may migrate, in steps. */
  private static final int MIN_RUN_STEPS = 10;

  /** Machines of one zone that replicas of one placement profile may migrate to. */
  private static final class MigrationTargets {
    private final List<MachineState> machines;

    /** The index of the first machine that is not known to be full. */
    private int firstNotFull;

    MigrationTargets(List<MachineState> machines) {
      this.machines = machines;
    }
  }

  private final ControllerContext context;
  private final FreeCapacity capacity;
  private final ImageFetchEstimator imageFetch;
  private final CpusPerGpu cpusPerGpu;

  private final Map<PlacementProfile, Map<String, MigrationTargets>> targets =
      new Reference2ObjectOpenHashMap<>();

  /**
   * Expected usage of confirmed migrations on each target. It only limits the number of migrations.
   */
  private final Map<MachineState, Resources> confirmedMigrations = new HashMap<>();

  /** Expected usage of migrations proposed for the option under examination. */
  private final Map<MachineState, Resources> proposedMigrations = new HashMap<>();

  private int examinations;

  ReplicaMigration(
      ControllerContext context,
      FreeCapacity capacity,
      ImageFetchEstimator imageFetch,
      CpusPerGpu cpusPerGpu) {
    this.context = context;
    this.capacity = capacity;
    this.imageFetch = imageFetch;
    this.cpusPerGpu = cpusPerGpu;
  }

  /** Returns the number of times that a machine was examined as a target. */
  int examinations() {
    return examinations;
  }

  /** Begins another option and drops the migrations proposed for the previous one. */
  void beginOption() {
    proposedMigrations.clear();
  }

  /** Confirms the migrations proposed since {@link #beginOption}. */
  void confirm() {
    proposedMigrations.forEach(
        (machine, demand) -> confirmedMigrations.merge(machine, demand, Resources::plus));
  }

  /**
   * Returns the cost of migrating a replica for the job, in seconds of its work weighted by its
   * size, or {@link #INFINITE_COST} if it may not migrate.
   *
   * <p>Replicas on GPUs do not migrate to free capacity, because the capacity they would take there
   * is lost to smaller jobs that wait as well. They migrate only if the image of a job with a
   * higher priority would arrive too late elsewhere, and only after they have run long enough for
   * their start to count.
   *
   * @param seeksCachedImage whether the job has capacity elsewhere, but its image would arrive
   *     there too late
   */
  double cost(Job job, Reservation replica, boolean seeksCachedImage) {
    Job spec = replica.job().spec();
    boolean isMovable =
        spec.kind() == JobKind.SERVICE
            && (spec.taskResources().gpus() <= 0
                || seeksCachedImage && isGpuReplicaMovable(job, replica))
            && replica.reportedState() == TaskStatus.State.RUNNING
            && isSmaller(spec, job, replica.machine())
            && runMs(replica) > MIN_RUN_STEPS * context.stepMs();
    return isMovable
        ? MIGRATION_STEPS * context.stepS() * cpusPerGpu.gpuWeight(spec.taskResources())
        : INFINITE_COST;
  }

  private boolean isGpuReplicaMovable(Job job, Reservation replica) {
    return replica.job().spec().priority().compareTo(job.priority()) > 0
        && runMs(replica) > MIN_COUNTED_RUN_MS;
  }

  private static boolean isSmaller(Job replica, Job preemptor, MachineState machine) {
    return replica.taskResources().shareOf(machine.capacity())
        < preemptor.taskResources().shareOf(machine.capacity());
  }

  private long runMs(Reservation replica) {
    return context.nowMs() - replica.runningSinceMs();
  }

  /** Proposes a target machine for a replica and returns whether there is one. */
  boolean tryReserveTarget(Reservation replica) {
    Job spec = replica.job().spec();
    MigrationTargets zoneTargets = targetsFor(replica);
    for (int i = zoneTargets.firstNotFull; i < zoneTargets.machines.size(); i++) {
      MachineState machine = zoneTargets.machines.get(i);
      examinations++;
      capacity.countExamination();
      Resources free =
          capacity.freeOn(machine).minus(confirmedMigrations.getOrDefault(machine, Resources.NONE));
      if (!isTarget(spec, machine, free)) {
        if (i == zoneTargets.firstNotFull) {
          zoneTargets.firstNotFull++;
        }
        continue;
      }
      Resources proposed = proposedMigrations.getOrDefault(machine, Resources.NONE);
      if (machine != replica.machine() && canAccept(spec, free.minus(proposed))) {
        proposedMigrations.merge(machine, spec.taskResources(), Resources::plus);
        return true;
      }
    }
    return false;
  }

  private MigrationTargets targetsFor(Reservation replica) {
    return targets
        .computeIfAbsent(replica.job().profile(), profile -> new HashMap<>())
        .computeIfAbsent(
            replica.machine().zone(),
            zone -> new MigrationTargets(capacity.candidates(replica.job().spec(), Set.of(zone))));
  }

  private boolean isTarget(Job spec, MachineState machine, Resources free) {
    return capacity.isUsable(machine)
        && canAccept(spec, free)
        && imageFetch.waitS(spec, machine) <= context.stepS();
  }

  private boolean canAccept(Job spec, Resources free) {
    return spec.taskResources().fitsIn(free)
        && cpusPerGpu.additionalStrandedGpus(spec.taskResources(), free) <= 0;
  }
}
