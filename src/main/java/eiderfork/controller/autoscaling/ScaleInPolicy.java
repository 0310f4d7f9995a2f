package eiderfork.controller.autoscaling;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.workers.LeaseExpiry;
import eiderfork.controller.workers.MachineLiveness;
import eiderfork.model.MachineType;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.List;
import java.util.Map;

/** Decides which machines are returned: those that no plan needs, are lost or can't be used. */
final class ScaleInPolicy {
  /** The cloud charges for a machine as if it had run this long at least. */
  static final long MIN_CHARGE_MS = 60_000;

  private static final double MS_PER_S = 1000;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final LeaseExpiry leaseExpiry;
  private final CloudProvisioner cloud;
  private final BootTimeEstimator bootTimes;

  ScaleInPolicy(
      ControllerContext context,
      MachineRegistry fleet,
      MachineLiveness liveness,
      LeaseExpiry leaseExpiry,
      CloudProvisioner cloud,
      BootTimeEstimator bootTimes) {
    this.context = context;
    this.fleet = fleet;
    this.liveness = liveness;
    this.leaseExpiry = leaseExpiry;
    this.cloud = cloud;
    this.bootTimes = bootTimes;
  }

  /**
   * Returns what the plan does not need.
   *
   * @param bins the machines of the plan, with what it packed on them
   */
  void returnUnneeded(List<Bin> bins) {
    Map<MachineState, Bin> binsWithoutReservations = binsWithoutReservations(bins);
    boolean areHeartbeatsConclusive = areMostMachinesHeard();
    for (MachineState machine : ImmutableList.copyOf(fleet.machines())) {
      if (machine.lifecycle().isScalingIn() || machine.spec() == null) {
        continue;
      }
      if (!returnIfUnusable(machine, areHeartbeatsConclusive)) {
        returnIfEmpty(machine, binsWithoutReservations.get(machine));
      }
    }
  }

  private static Map<MachineState, Bin> binsWithoutReservations(List<Bin> bins) {
    Map<MachineState, Bin> byMachine = new Reference2ObjectOpenHashMap<>();
    for (Bin bin : bins) {
      if (bin.hasMachine() && bin.machine().reservations().isEmpty()) {
        byMachine.put(bin.machine(), bin);
      }
    }
    return byMachine;
  }

  /** Where most machines are silent at once, it is this node that is cut off. */
  private boolean areMostMachinesHeard() {
    int silent = 0;
    int live = 0;
    for (MachineState machine : fleet.machines()) {
      if (machine.lastHeartbeat() != null) {
        live++;
        silent += liveness.hasRecentHeartbeat(machine) ? 0 : 1;
      }
    }
    return silent * 2 <= live;
  }

  /** Returns a machine that is faulty or lost; whether it is one, or has not come up yet. */
  private boolean returnIfUnusable(MachineState machine, boolean areHeartbeatsConclusive) {
    if (machine.failures().isFaulty()) {
      cloud.scaleIn().returnMachine(machine, ScaleInReason.FAULTY);
    } else if (machine.lastHeartbeat() == null) {
      returnIfBootFailed(machine);
    } else if (areHeartbeatsConclusive && isLost(machine)) {
      cloud.scaleIn().returnSilent(machine, ScaleInReason.SILENT);
    } else if (areHeartbeatsConclusive && isUnresponsiveForLong(machine)) {
      cloud.scaleIn().returnMachine(machine, ScaleInReason.COMMANDS_LOST);
    } else {
      return false;
    }
    return true;
  }

  private void returnIfBootFailed(MachineState machine) {
    MachineType type = fleet.typeOf(machine);
    if (type != null && bootTimes.hasFailed(machine, type)) {
      cloud.scaleIn().returnSilent(machine, ScaleInReason.BOOT_FAILED);
    }
  }

  private boolean isLost(MachineState machine) {
    return !leaseExpiry.isProxied(machine)
        && liveness.timeSinceLastContactMs(machine)
            > BootTimeEstimator.UNREACHABLE_GRACE_LEASES * context.workerLeaseMs()
                + bootMs(machine);
  }

  private boolean isUnresponsiveForLong(MachineState machine) {
    return liveness.hasRecentHeartbeat(machine)
        && liveness.isUnresponsive(machine)
        && context.nowMs() - machine.commandChannel().unresponsiveSinceMs()
            > context.workerLeaseMs();
  }

  /**
   * Returns a machine that holds nothing, once it was drained or has been idle for long.
   *
   * @param bin what the plan packed on the machine; null where the plan did not count on it
   */
  private void returnIfEmpty(MachineState machine, Bin bin) {
    if (!machine.reservations().isEmpty() || !machine.reportedTasks().isEmpty()) {
      machine.lifecycle().clearIdle();
    } else if (machine.lifecycle().isDraining()) {
      cloud.scaleIn().returnMachine(machine, ScaleInReason.DRAINED);
    } else if (bin != null && !bin.isUnused()) {
      machine.lifecycle().clearIdle();
    } else if (machine.lifecycle().idleSinceMs() == 0) {
      machine.lifecycle().beginIdle(context.nowMs());
    } else if (isIdleForLong(machine)) {
      cloud.scaleIn().returnMachine(machine, ScaleInReason.IDLE);
    }
  }

  private boolean isIdleForLong(MachineState machine) {
    double keptMs = bootMs(machine) * context.settings.operator().idleBootShare();
    return context.nowMs() - machine.lifecycle().idleSinceMs() > keptMs
        && context.nowMs() - machine.lifecycle().knownSinceMs() > MIN_CHARGE_MS;
  }

  private double bootMs(MachineState machine) {
    MachineType type = fleet.typeOf(machine);
    return type == null ? 0 : type.bootS() * MS_PER_S;
  }
}
