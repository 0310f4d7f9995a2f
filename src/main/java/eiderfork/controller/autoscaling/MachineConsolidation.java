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
 * half-empty machines, none of which would ever become idle. A machine is drained only if each of
 * its replicas finds free capacity and its image on a fuller machine, beside the capacity planned
 * for pending tasks and headroom.
 */
final class MachineConsolidation {
  private static final Logger LOG = LoggerFactory.getLogger(MachineConsolidation.class);

  /** The maximum used share of a machine that may be drained. */
  private static final double MAX_USED_SHARE = 0.6;

  /** The number of machines in the fleet for each further concurrent drain. */
  private static final int MACHINES_PER_EXTRA_DRAIN = 1000;

  /** The timeout of a drain, in steps; after it the machine is used again. */
  private static final int MAX_DRAIN_STEPS = 10;

  /**
   * The number of the most expensive candidates, and of the others, that a plan examines per
   * allowed drain.
   */
  private static final int EXAMINED_CANDIDATES_PER_DRAIN = 8;

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

  /**
   * Drains machines whose tasks fit into the capacity that a plan left free; none during a
   * scale-out.
   */
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

  /** Returns machines to service whose drain has timed out. */
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

  /**
   * Returns the maximum number of concurrent drains. It grows with the fleet, since draining one
   * machine at a time would take hours in a fleet of thousands.
   */
  private int maxConcurrentDrains() {
    return 1 + fleet.machines().size() / MACHINES_PER_EXTRA_DRAIN;
  }

  private void drain(List<Bin> candidates, BinPacking packing, int allowedDrains) {
    updateDrainableSince(findDrainable(candidates, packing));
    int remaining = allowedDrains;
    for (Bin bin : candidates) {
      if (remaining > 0 && hasBeenDrainableLongEnough(bin.machine())) {
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

  private boolean hasBeenDrainableLongEnough(MachineState machine) {
    double bootMs = fleet.typeOf(machine).bootS() * MS_PER_S;
    double minDrainableMs = bootMs * context.settings.operator().idleBootShare();
    return machine.lifecycle().drainableSinceMs() > 0
        && context.nowMs() - machine.lifecycle().drainableSinceMs() >= minDrainableMs;
  }

  /** Returns the machines that may be drained, in descending order of the saving per task. */
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

  /** Returns machines whose tasks all fit elsewhere, also if all of these machines are drained. */
  private Set<MachineState> findDrainable(List<Bin> candidates, BinPacking packing) {
    Set<MachineState> drainable = new HashSet<>();
    TaskRelocation relocation = new TaskRelocation(context, liveness, scheduler, packing);
    boolean drainsSeveral = maxConcurrentDrains() > 1;
    for (Bin bin : selectForExamination(candidates)) {
      boolean isDrainable =
          drainsSeveral
              // A machine that receives relocated tasks is not drained, and vice versa.
              ? !relocation.isTarget(bin) && relocation.relocateAll(bin, drainable)
              : relocation.canRelocateAll(bin);
      if (isDrainable) {
        drainable.add(bin.machine());
      }
    }
    return drainable;
  }

  /**
   * Returns the candidates to examine: the most expensive, those that were drainable before, and a
   * random sample of the others, since the most expensive ones may never become drainable.
   */
  private List<Bin> selectForExamination(List<Bin> candidates) {
    int count = EXAMINED_CANDIDATES_PER_DRAIN * maxConcurrentDrains();
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
