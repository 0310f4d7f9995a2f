package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Empties machines that the fleet could do without: after a rush, replicas stand spread over
 * half-empty machines, and none of these would ever become idle. One at a time, and only where
 * every replica finds room and its image on a fuller machine, beside what waits and the headroom.
 */
final class MachineConsolidation {
  private static final Logger LOG = LoggerFactory.getLogger(MachineConsolidation.class);

  /** The most of a machine that may be in use for it to be emptied. */
  private static final double MAX_USED_SHARE = 0.6;

  /** A start that is undone before this time has passed does not count, by the protocol. */
  static final long MIN_RUNNING_MS = 30_000;

  /** Past each of these machines one more may be emptied at the same time. */
  private static final int MACHINES_PER_DRAIN = 1000;

  /** How long an emptying may take before the machine is used again, in steps. */
  private static final int MAX_DRAIN_STEPS = 10;

  /**
   * How many of the dearest machines for their tasks, and of the others, a plan looks at closely.
   */
  private static final int EXAMINED_CANDIDATES = 8;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final Scheduler scheduler;

  MachineConsolidation(
      ControllerContext context,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness,
      Scheduler scheduler) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
    this.scheduler = scheduler;
  }

  /**
   * Looks at what a plan has left over; nothing is emptied while the fleet is {@code isScalingOut}.
   */
  void plan(BinPacking packing, boolean isScalingOut) {
    int emptying = 0;
    for (MachineState machine : fleet.machines()) {
      if (machine.lifecycle().isDraining()
          && context.nowMs - machine.lifecycle().drainingSinceMs()
              > MAX_DRAIN_STEPS * context.stepMs()) {
        // Something holds on to it; it is used again.
        machine.lifecycle().abandonDraining();
      }
      emptying += machine.lifecycle().isDraining() && !machine.lifecycle().isScalingIn() ? 1 : 0;
    }
    if (isScalingOut) {
      fleet.machines().forEach(machine -> machine.lifecycle().clearDrainable());
    }
    int mayEmpty = maxConcurrentDrains() - emptying;
    if (mayEmpty <= 0 || isScalingOut) {
      return;
    }
    List<Bin> candidates = candidates(packing);
    Set<MachineState> spare = findRemovable(candidates, packing);
    for (MachineState machine : fleet.machines()) {
      if (!spare.contains(machine)) {
        machine.lifecycle().clearDrainable();
      } else {
        machine.lifecycle().markDrainable(context.nowMs);
      }
    }
    for (Bin bin : candidates) {
      if (mayEmpty > 0 && isRemovableForLong(bin.machine)) {
        drain(bin.machine);
        mayEmpty--;
      }
    }
  }

  /** One at a time takes hours after a rush in a fleet of thousands. */
  private int maxConcurrentDrains() {
    return 1 + fleet.machines().size() / MACHINES_PER_DRAIN;
  }

  /** The machines that may be emptied, those first that save most. */
  private List<Bin> candidates(BinPacking packing) {
    List<Bin> candidates = new ArrayList<>();
    for (Bin bin : packing.existingBins()) {
      if (canDrain(bin)) {
        candidates.add(bin);
      }
    }
    candidates.sort(Comparator.comparingDouble(bin -> -savingPerTask(bin)));
    return candidates;
  }

  /** Those of which all tasks fit elsewhere, beside the tasks of the ones before. */
  private Set<MachineState> findRemovable(List<Bin> candidates, BinPacking packing) {
    Set<MachineState> spare = new HashSet<>();
    Map<Bin, Resources> taken = new Reference2ObjectOpenHashMap<>();
    boolean several = maxConcurrentDrains() > 1;
    for (Bin bin : selectForExamination(candidates)) {
      Map<Bin, Resources> left = new Reference2ObjectOpenHashMap<>(taken);
      // What is to be emptied itself takes no tasks of another, nor the other way round.
      boolean isTarget = several && taken.containsKey(bin);
      if (!isTarget && fitsElsewhere(bin, packing, left, several ? spare : Set.of())) {
        spare.add(bin.machine);
        if (several) {
          taken = left;
        }
      }
    }
    return spare;
  }

  private boolean isRemovableForLong(MachineState machine) {
    double keepMs =
        fleet.typeOf(machine).bootS() * 1000 * context.settings.operator().idleBootShare();
    return machine.lifecycle().drainableSinceMs() > 0
        && context.nowMs - machine.lifecycle().drainableSinceMs() >= keepMs;
  }

  /**
   * The candidates that are looked at closely: the dearest, those that were spare before, and a
   * sample of the others, since the dearest may be such as can never be emptied.
   */
  private List<Bin> selectForExamination(List<Bin> candidates) {
    List<Bin> tries = new ArrayList<>();
    List<Bin> others = new ArrayList<>();
    for (Bin bin : candidates) {
      boolean surely =
          tries.size() < EXAMINED_CANDIDATES * maxConcurrentDrains()
              || bin.machine.lifecycle().drainableSinceMs() > 0;
      (surely ? tries : others).add(bin);
    }
    for (int i = 0; i < EXAMINED_CANDIDATES * maxConcurrentDrains() && i < others.size(); i++) {
      Collections.swap(others, i, i + context.random.nextInt(others.size() - i));
      tries.add(others.get(i));
    }
    return tries;
  }

  /** What is saved for each task that has to move. */
  private double savingPerTask(Bin bin) {
    MachineType type = fleet.typeOf(bin.machine);
    return type.hourlyPrice(bin.kind.spot()) / bin.machine.reservations().size();
  }

  private boolean canDrain(Bin bin) {
    MachineState machine = bin.machine;
    if (machine == null
        || machine.reservations().isEmpty()
        || fleet.typeOf(machine) == null
        || !liveness.isSchedulable(machine)
        || context.nowMs - machine.lifecycle().knownSinceMs() < ScaleInPolicy.MIN_CHARGE_MS
        || !bin.free.equals(machine.freeCapacity())
        || bin.free.shareOf(bin.capacity) < 1 - MAX_USED_SHARE) {
      return false;
    }
    for (Reservation reservation : machine.reservations()) {
      boolean settled =
          reservation.job.spec.kind() == JobKind.SERVICE
              && reservation.isCommitted()
              && reservation.isDesired()
              && reservation.reportedState() == TaskStatus.State.RUNNING
              && context.nowMs - reservation.runningSinceMs() > MIN_RUNNING_MS;
      if (!settled) {
        return false;
      }
    }
    return true;
  }

  /**
   * Whether all tasks of a machine find room. Those of a machine with GPUs may take the processors
   * that GPUs elsewhere would need: what waits and the headroom have theirs already, and as many
   * GPUs as stand here are given back for it. Without that, replicas that must be spread held 46
   * machines of eight GPUs each, half of them free, for the processors of 30.
   */
  private boolean fitsElsewhere(
      Bin from, BinPacking packing, Map<Bin, Resources> left, Set<MachineState> emptied) {
    for (Reservation reservation : from.machine.reservations()) {
      Bin best = fullestTarget(reservation.job.spec, from, packing, left, emptied);
      if (best == null) {
        return false;
      }
      left.put(
          best, left.getOrDefault(best, best.free).minus(reservation.job.spec.taskResources()));
    }
    return true;
  }

  /** The machine for a moved task that has the least left beside it, or null. */
  private Bin fullestTarget(
      Job job, Bin from, BinPacking packing, Map<Bin, Resources> left, Set<MachineState> emptied) {
    Bin[] best = new Bin[1];
    double[] bestLeft = new double[1];
    packing.forEachWithFreeCapacity(
        job,
        bin -> {
          Resources room = left.getOrDefault(bin, bin.free);
          if (bin == from
              || bin.machine == null
              || emptied.contains(bin.machine)
              || !job.taskResources().fitsIn(room)
              || !canMove(job, from, bin)
              || from.capacity.gpus() <= 0
                  && scheduler.gpuBalance().strandedGpusBy(job.taskResources(), room) > 0) {
            return;
          }
          double share = room.minus(job.taskResources()).shareOf(bin.capacity);
          if (best[0] == null || share < bestLeft[0]) {
            best[0] = bin;
            bestLeft[0] = share;
          }
        });
    return best[0];
  }

  /** On a machine that is the fuller one, in a zone that the job's other tasks leave open. */
  private boolean canMove(Job job, Bin from, Bin to) {
    return to.machine != null
        && !to.machine.reservations().isEmpty()
        && liveness.isSchedulable(to.machine)
        && (to.kind.zone().equals(from.kind.zone()) || canChangeZone(job, to.kind.zone()))
        && job.allowsType(to.kind.type())
        && (job.spotAllowed() || !to.kind.spot())
        && to.free.shareOf(to.capacity) <= from.free.shareOf(from.capacity)
        && scheduler.imageFetch().waitS(job, to.machine) <= context.stepS();
  }

  /**
   * Whether a task may move to another zone whatever the job's other tasks do. Where replicas that
   * must be spread hold the machines of one zone, the GPUs beside them once stood free while other
   * replicas held half-empty machines of another zone.
   */
  private static boolean canChangeZone(Job job, String zone) {
    return !job.spreadZones() && !job.singleZone() && job.allowsZone(zone);
  }

  private void drain(MachineState machine) {
    LOG.info(
        "emptying {}, its {} tasks fit elsewhere", machine.name(), machine.reservations().size());
    machine.lifecycle().beginDraining(context.nowMs);
    machine.requestCommand();
    for (Reservation reservation : machine.reservations()) {
      reservation.requestStop();
      jobs.refreshIndexes(reservation.job);
    }
  }
}
