package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.scheduling.Scheduler;
import eiderfork.controller.workers.MachineLiveness;
import eiderfork.model.Job;
import eiderfork.model.Resources;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Whether the tasks of machines fit on other machines, with what the tasks of machines relocated
 * before take there.
 */
final class TaskRelocation {
  private final ControllerContext context;
  private final MachineLiveness liveness;
  private final Scheduler scheduler;
  private final BinPacking packing;

  /** What is free on the machines that relocated tasks go to. */
  private Map<Bin, Resources> freeOnTargets = new Reference2ObjectOpenHashMap<>();

  TaskRelocation(
      ControllerContext context,
      MachineLiveness liveness,
      Scheduler scheduler,
      BinPacking packing) {
    this.context = context;
    this.liveness = liveness;
    this.scheduler = scheduler;
    this.packing = packing;
  }

  /** Whether relocated tasks go to this machine. */
  boolean isTarget(Bin bin) {
    return freeOnTargets.containsKey(bin);
  }

  /**
   * Finds machines for all tasks of a machine, which count as relocated then.
   *
   * <p>Tasks of a machine with GPUs may take the processors that GPUs elsewhere would need: waiting
   * tasks and headroom have theirs already, and as many GPUs as the machine has are returned.
   *
   * @param excluded machines that take no tasks
   * @return whether all of them fit; nothing is relocated otherwise
   */
  boolean relocateAll(Bin source, Set<MachineState> excluded) {
    Map<Bin, Resources> free = new Reference2ObjectOpenHashMap<>(freeOnTargets);
    if (!fitsElsewhere(source, free, excluded)) {
      return false;
    }
    freeOnTargets = free;
    return true;
  }

  /** Whether all tasks of a machine fit elsewhere; nothing is relocated. */
  boolean canRelocateAll(Bin source) {
    return fitsElsewhere(source, new Reference2ObjectOpenHashMap<>(freeOnTargets), Set.of());
  }

  private boolean fitsElsewhere(Bin source, Map<Bin, Resources> free, Set<MachineState> excluded) {
    for (Reservation reservation : source.machine().reservations()) {
      Job job = reservation.job().spec();
      Bin target = findFullestTarget(job, source, free, excluded);
      if (target == null) {
        return false;
      }
      free.put(target, freeOn(target, free).minus(job.taskResources()));
    }
    return true;
  }

  private static Resources freeOn(Bin bin, Map<Bin, Resources> free) {
    return free.getOrDefault(bin, bin.free());
  }

  /** The machine that has the smallest share of it free with the task on it, or null. */
  private Bin findFullestTarget(
      Job job, Bin source, Map<Bin, Resources> free, Set<MachineState> excluded) {
    FullestBin fullest = new FullestBin();
    packing.forEachWithFreeCapacity(
        job,
        bin -> {
          Resources freeThere = freeOn(bin, free);
          if (bin != source
              && bin.hasMachine()
              && !excluded.contains(bin.machine())
              && job.taskResources().fitsIn(freeThere)
              && canMove(job, source, bin)
              && !strandsGpus(job, source, freeThere)) {
            fullest.offer(bin, freeThere.minus(job.taskResources()).shareOf(bin.capacity()));
          }
        });
    return fullest.bin;
  }

  /** The bin that was offered with the smallest free share, the first of equal ones. */
  private static final class FullestBin {
    private Bin bin;
    private double freeShare;

    void offer(Bin offered, double offeredFreeShare) {
      if (bin == null || offeredFreeShare < freeShare) {
        bin = offered;
        freeShare = offeredFreeShare;
      }
    }
  }

  private boolean strandsGpus(Job job, Bin source, Resources free) {
    return source.capacity().gpus() <= 0
        && scheduler.cpusPerGpu().additionalStrandedGpus(job.taskResources(), free) > 0;
  }

  /** Only to a machine that is fuller and in use, and where the image is there in time. */
  private boolean canMove(Job job, Bin source, Bin target) {
    return !target.machine().reservations().isEmpty()
        && liveness.isSchedulable(target.machine())
        && isZoneAllowed(job, source.kind().zone(), target.kind().zone())
        && job.allowsType(target.kind().type())
        && (job.spotAllowed() || !target.kind().spot())
        && target.freeShare() <= source.freeShare()
        && scheduler.imageFetchEstimator().waitS(job, target.machine()) <= context.stepS();
  }

  /** Another zone is only allowed where it does not depend on the job's other tasks. */
  private static boolean isZoneAllowed(Job job, String sourceZone, String targetZone) {
    boolean isFreeToMove = !job.spreadZones() && !job.singleZone() && job.allowsZone(targetZone);
    return targetZone.equals(sourceZone) || isFreeToMove;
  }
}
