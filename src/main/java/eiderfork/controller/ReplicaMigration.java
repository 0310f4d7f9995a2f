package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds replicas that may move away for a job, and the room that they move to. */
final class ReplicaMigration {
  /** How long a replica is away while it moves, in steps. */
  private static final double MIGRATION_STEPS = 2;

  /** How long a replica has to run before it may move, in steps. */
  private static final int MIN_RUN_STEPS = 10;

  /** Machines of a zone that may take replicas of a profile; those before the first are full. */
  private static final class MigrationTargets {
    final List<MachineState> machines;
    int firstNotFull;

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

  /** What moved replicas will take where they go; it only guards against moving too many. */
  private final Map<MachineState, Resources> confirmedMigrations = new HashMap<>();

  /** The same for the option that is being looked at. */
  private final Map<MachineState, Resources> proposedMigrations = new HashMap<>();

  private int examinedMachines;

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

  /** How many looks at machines were taken for this. */
  int examinedMachines() {
    return examinedMachines;
  }

  /** Another machine is looked at; what was to move from the one before it stays. */
  void beginOption() {
    proposedMigrations.clear();
  }

  /** The moves found since {@link #beginOption} are made. */
  void confirm() {
    proposedMigrations.forEach(
        (machine, needs) -> confirmedMigrations.merge(machine, needs, Resources::plus));
  }

  /**
   * What moving this replica for the job throws away, in seconds of its work weighted by its size;
   * the largest double where it stays.
   *
   * <p>Replicas on GPUs stay where there is no room at all: what moving them makes is taken from
   * smaller jobs that wait as well. They move for an image that would come too late, once they have
   * run for long enough to count as started.
   *
   * @param forImage whether there is room elsewhere, where the image comes too late
   */
  double cost(Job job, Reservation reservation, boolean forImage) {
    Job spec = reservation.job.spec;
    boolean gpusMove =
        forImage
            && spec.priority().compareTo(job.priority()) > 0
            && context.nowMs - reservation.runningSinceMs() > MachineConsolidation.MIN_RUNNING_MS;
    boolean movable =
        spec.kind() == JobKind.SERVICE
            && (spec.taskResources().gpus() <= 0 || gpusMove)
            && reservation.reportedState() == TaskStatus.State.RUNNING
            && spec.taskResources().shareOf(reservation.machine.capacity())
                < job.taskResources().shareOf(reservation.machine.capacity())
            && context.nowMs - reservation.runningSinceMs() > MIN_RUN_STEPS * context.stepMs();
    double weight = cpusPerGpu.gpuWeight(spec.taskResources());
    return movable ? MIGRATION_STEPS * context.stepS() * weight : Double.MAX_VALUE;
  }

  /** Whether a replica finds room on another machine; takes that room. */
  boolean reserveTarget(Reservation reservation) {
    Job job = reservation.job.spec;
    String zone = reservation.machine.zone();
    MigrationTargets open =
        targets
            .computeIfAbsent(reservation.job.profile, profile -> new HashMap<>())
            .computeIfAbsent(zone, z -> new MigrationTargets(capacity.candidates(job, Set.of(z))));
    for (int i = open.firstNotFull; i < open.machines.size(); i++) {
      MachineState machine = open.machines.get(i);
      examinedMachines++;
      capacity.countExamined();
      Resources left =
          capacity.freeOn(machine).minus(confirmedMigrations.getOrDefault(machine, Resources.NONE));
      if (!capacity.isUsable(machine)
          || !canAccept(job, left)
          || imageFetch.waitS(job, machine) > context.stepS()) {
        if (i == open.firstNotFull) {
          open.firstNotFull++;
        }
        continue;
      }
      if (machine != reservation.machine
          && canAccept(job, left.minus(proposedMigrations.getOrDefault(machine, Resources.NONE)))) {
        proposedMigrations.merge(machine, job.taskResources(), Resources::plus);
        return true;
      }
    }
    return false;
  }

  private boolean canAccept(Job job, Resources left) {
    return job.taskResources().fitsIn(left)
        && cpusPerGpu.strandedGpusBy(job.taskResources(), left) <= 0;
  }
}
