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
 * Checks whether the tasks of machines fit on other machines, beside the tasks that were relocated
 * to those before.
 */
final class TaskRelocation {
  private final ControllerContext context;
  private final MachineLiveness liveness;
  private final Scheduler scheduler;
  private final BinPacking packing;

  /** The remaining free capacity of the machines that relocated tasks go to. */
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

  /** Returns whether relocated tasks go to this machine. */
  boolean isTarget(Bin bin) {
    return freeOnTargets.containsKey(bin);
  }

  /**
   * Relocates all tasks of a machine if they fit on other machines.
   *
   * <p>Tasks of a GPU machine may use the CPUs that free GPUs elsewhere would need: pending tasks
   * and headroom already have their CPUs, and the machine's own GPUs are returned.
   *
   * @param excluded machines that may not receive tasks
   * @return whether all tasks fit; if not, none is relocated
   */
  boolean relocateAll(Bin source, Set<MachineState> excluded) {
    Map<Bin, Resources> free = new Reference2ObjectOpenHashMap<>(freeOnTargets);
    if (!fitsElsewhere(source, free, excluded)) {
      return false;
    }
    freeOnTargets = free;
    return true;
  }

  /** Returns whether all tasks of a machine fit elsewhere, without relocating any. */
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

  /** Returns the machine with the smallest free share once the task is on it, or null. */
  private Bin findFullestTarget(
      Job job, Bin source, Map<Bin, Resources> free, Set<MachineState> excluded) {
    FullestBin fullest = new FullestBin();
    packing.forEachWithFreeCapacity(
        job,
        bin -> {
          Resources targetFree = freeOn(bin, free);
          if (bin != source
              && bin.hasMachine()
              && !excluded.contains(bin.machine())
              && job.taskResources().fitsIn(targetFree)
              && canMove(job, source, bin)
              && !strandsGpus(job, source, targetFree)) {
            fullest.offer(bin, targetFree.minus(job.taskResources()).shareOf(bin.capacity()));
          }
        });
    return fullest.bin;
  }

  /** The offered bin with the smallest free share; among equals, the first. */
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

  /**
   * Returns whether a task may move to this machine: one that is in use, at least as full as the
   * source, and can have the image within a step.
   */
  private boolean canMove(Job job, Bin source, Bin target) {
    return !target.machine().reservations().isEmpty()
        && liveness.isSchedulable(target.machine())
        && isZoneAllowed(job, source.kind().zone(), target.kind().zone())
        && job.allowsType(target.kind().type())
        && (job.spotAllowed() || !target.kind().spot())
        && target.freeShare() <= source.freeShare()
        && scheduler.imageFetchEstimator().waitS(job, target.machine()) <= context.stepS();
  }

  /**
   * Returns whether a task may move to a zone. Tasks of a job that has to spread over zones or stay
   * in a single zone may not leave their zone, since that depends on the job's other tasks.
   */
  private static boolean isZoneAllowed(Job job, String sourceZone, String targetZone) {
    boolean isFreeToMove = !job.spreadZones() && !job.singleZone() && job.allowsZone(targetZone);
    return targetZone.equals(sourceZone) || isFreeToMove;
  }
}
