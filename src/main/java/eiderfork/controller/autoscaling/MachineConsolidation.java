package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.scheduling.ReplicaMigration;
import eiderfork.controller.scheduling.Scheduler;
import eiderfork.controller.workers.MachineLiveness;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.TaskStatus;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains machines whose replicas fit on other machines. After a load peak, replicas are spread over
 * half-empty machines, none of which would ever become idle. A machine is drained only where every
 * replica finds free capacity and its image on a fuller machine, in addition to waiting tasks and
 * headroom.
 */
final class MachineConsolidation {
  private static final Logger LOG = LoggerFactory.getLogger(MachineConsolidation.class);

  /** The largest share of a machine that may be in use for it to be drained. */
  private static final double MAX_USED_SHARE = 0.6;

  /** For each of these machines one more may be drained at the same time. */
  private static final int MACHINES_PER_DRAIN = 1000;

  /** How long a drain may take before the machine is used again, in steps. */
  private static final int MAX_DRAIN_STEPS = 10;

  /** How many of the most expensive candidates, and of the others, a plan examines. */
  private static final int EXAMINED_CANDIDATES = 8;

  private static final double MS_PER_S = 1000;

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

  /** Drains machines by what a plan has left free; none while it scales out. */
  void plan(BinPacking packing, boolean isScalingOut) {
    cancelStuckDrains();
    if (isScalingOut) {
      fleet.machines().forEach(machine -> machine.lifecycle().clearDrainable());
      return;
    }
    int allowedDrains = maxConcurrentDrains() - countDraining();
    if (allowedDrains > 0) {
      drain(findCandidates(packing), packing, allowedDrains);
    }
  }

  /** Takes machines into service again whose tasks did not end in time. */
  private void cancelStuckDrains() {
    for (MachineState machine : fleet.machines()) {
      if (machine.lifecycle().isDraining()
          && context.nowMs() - machine.lifecycle().drainingSinceMs()
              > MAX_DRAIN_STEPS * context.stepMs()) {
        machine.lifecycle().abandonDraining();
      }
    }
  }

  private int countDraining() {
    int draining = 0;
    for (MachineState machine : fleet.machines()) {
      draining += machine.lifecycle().isDraining() && !machine.lifecycle().isScalingIn() ? 1 : 0;
    }
    return draining;
  }

  /** Grows with the fleet, as one at a time would take hours in one of thousands. */
  private int maxConcurrentDrains() {
    return 1 + fleet.machines().size() / MACHINES_PER_DRAIN;
  }

  private void drain(List<Bin> candidates, BinPacking packing, int allowedDrains) {
    updateDrainableSince(findDrainable(candidates, packing));
    int remaining = allowedDrains;
    for (Bin bin : candidates) {
      if (remaining > 0 && isDrainableForLong(bin.machine())) {
        drain(bin.machine());
        remaining--;
      }
    }
  }

  private void updateDrainableSince(Set<MachineState> drainable) {
    for (MachineState machine : fleet.machines()) {
      if (!drainable.contains(machine)) {
        machine.lifecycle().clearDrainable();
      } else {
        machine.lifecycle().markDrainable(context.nowMs());
      }
    }
  }

  private boolean isDrainableForLong(MachineState machine) {
    double bootMs = fleet.typeOf(machine).bootS() * MS_PER_S;
    double keptMs = bootMs * context.settings.operator().idleBootShare();
    return machine.lifecycle().drainableSinceMs() > 0
        && context.nowMs() - machine.lifecycle().drainableSinceMs() >= keptMs;
  }

  /** The machines that may be drained, those first that save most. */
  private List<Bin> findCandidates(BinPacking packing) {
    List<Bin> candidates = new ArrayList<>();
    for (Bin bin : packing.existingBins()) {
      if (bin.hasMachine() && canDrain(bin)) {
        candidates.add(bin);
      }
    }
    candidates.sort(Comparator.comparingDouble(bin -> -savingPerTask(bin)));
    return candidates;
  }

  private double savingPerTask(Bin bin) {
    MachineType type = fleet.typeOf(bin.machine());
    return type.hourlyPrice(bin.kind().spot()) / bin.machine().reservations().size();
  }

  private boolean canDrain(Bin bin) {
    MachineState machine = bin.machine();
    return !machine.reservations().isEmpty()
        && fleet.typeOf(machine) != null
        && liveness.isSchedulable(machine)
        && context.nowMs() - machine.lifecycle().knownSinceMs() >= ScaleInPolicy.MIN_CHARGE_MS
        && bin.free().equals(machine.freeCapacity())
        && bin.freeShare() >= 1 - MAX_USED_SHARE
        && machine.reservations().stream().allMatch(this::isSettledReplica);
  }

  private boolean isSettledReplica(Reservation reservation) {
    return reservation.job().spec().kind() == JobKind.SERVICE
        && reservation.isCommitted()
        && reservation.isDesired()
        && reservation.reportedState() == TaskStatus.State.RUNNING
        && context.nowMs() - reservation.runningSinceMs() > ReplicaMigration.MIN_COUNTED_RUN_MS;
  }

  /** The machines of which all tasks fit elsewhere, all of them together. */
  private Set<MachineState> findDrainable(List<Bin> candidates, BinPacking packing) {
    Set<MachineState> drainable = new HashSet<>();
    TaskRelocation relocation = new TaskRelocation(context, liveness, scheduler, packing);
    boolean drainsSeveral = maxConcurrentDrains() > 1;
    for (Bin bin : selectForExamination(candidates)) {
      boolean isDrainable =
          drainsSeveral
              // A machine that is to be drained takes no tasks of another, and vice versa.
              ? !relocation.isTarget(bin) && relocation.relocateAll(bin, drainable)
              : relocation.canRelocateAll(bin);
      if (isDrainable) {
        drainable.add(bin.machine());
      }
    }
    return drainable;
  }

  /**
   * The candidates to examine: the most expensive, those that were drainable before, and a sample
   * of the others, since the most expensive may be such as can never be drained.
   */
  private List<Bin> selectForExamination(List<Bin> candidates) {
    int count = EXAMINED_CANDIDATES * maxConcurrentDrains();
    List<Bin> selected = new ArrayList<>();
    List<Bin> others = new ArrayList<>();
    for (Bin bin : candidates) {
      boolean isSelected =
          selected.size() < count || bin.machine().lifecycle().drainableSinceMs() > 0;
      (isSelected ? selected : others).add(bin);
    }
    for (int i = 0; i < count && i < others.size(); i++) {
      Collections.swap(others, i, i + context.random.nextInt(others.size() - i));
      selected.add(others.get(i));
    }
    return selected;
  }

  private void drain(MachineState machine) {
    LOG.info("drain-started machine={} tasks={}", machine.name(), machine.reservations().size());
    machine.lifecycle().beginDraining(context.nowMs());
    machine.requestCommand();
    for (Reservation reservation : machine.reservations()) {
      reservation.requestStop();
      jobs.refreshIndexes(reservation.job());
    }
  }
}
