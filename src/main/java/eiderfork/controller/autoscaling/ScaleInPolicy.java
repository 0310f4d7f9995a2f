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

/** Decides which machines to return: those that are not needed, lost or unusable. */
final class ScaleInPolicy {
  /** The minimum time for which the cloud charges a machine. */
  static final long MIN_CHARGE_MS = 60_000;

  private static final double MS_PER_S = 1000;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final LeaseExpiry leaseExpiry;
  private final CloudProvisioner cloud;
  private final BootDelayDetector bootDelays;

  ScaleInPolicy(
      ControllerContext context,
      MachineRegistry fleet,
      MachineLiveness liveness,
      LeaseExpiry leaseExpiry,
      CloudProvisioner cloud,
      BootDelayDetector bootDelays) {
    this.context = context;
    this.fleet = fleet;
    this.liveness = liveness;
    this.leaseExpiry = leaseExpiry;
    this.cloud = cloud;
    this.bootDelays = bootDelays;
  }

  /**
   * Returns the machines to the cloud that are unusable or that the plan does not need.
   *
   * @param bins the machines of the plan, with the tasks packed onto them
   */
  void returnUnneeded(List<Bin> bins) {
    Map<MachineState, Bin> binsWithoutReservations = binsWithoutReservations(bins);
    boolean areHeartbeatsConclusive = areMostMachinesReachable();
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

  /**
   * Returns whether at least half of the live machines have sent a recent heartbeat. If not, this
   * node is probably the one that is disconnected.
   */
  private boolean areMostMachinesReachable() {
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

  /**
   * Returns a machine to the cloud that is faulty, lost or failed to boot.
   *
   * @return whether the machine is unusable, which includes one that has not booted yet
   */
  private boolean returnIfUnusable(MachineState machine, boolean areHeartbeatsConclusive) {
    if (machine.failures().isFaulty()) {
      cloud.scaleIn().returnMachine(machine, ScaleInReason.FAULTY);
    } else if (machine.lastHeartbeat() == null) {
      returnIfBootFailed(machine);
    } else if (areHeartbeatsConclusive && isLost(machine)) {
      cloud.scaleIn().returnUnreachable(machine, ScaleInReason.SILENT);
    } else if (areHeartbeatsConclusive && isUnresponsiveForLong(machine)) {
      cloud.scaleIn().returnMachine(machine, ScaleInReason.COMMANDS_LOST);
    } else {
      return false;
    }
    return true;
  }

  private void returnIfBootFailed(MachineState machine) {
    MachineType type = fleet.typeOf(machine);
    if (type != null && bootDelays.hasFailed(machine, type)) {
      cloud.scaleIn().returnUnreachable(machine, ScaleInReason.BOOT_FAILED);
    }
  }

  private boolean isLost(MachineState machine) {
    return !leaseExpiry.isProxied(machine)
        && liveness.timeSinceLastContactMs(machine)
            > BootDelayDetector.UNREACHABLE_GRACE_LEASES * context.workerLeaseMs()
                + bootMs(machine);
  }

  private boolean isUnresponsiveForLong(MachineState machine) {
    return liveness.hasRecentHeartbeat(machine)
        && liveness.isUnresponsive(machine)
        && context.nowMs() - machine.commandChannel().unresponsiveSinceMs()
            > context.workerLeaseMs();
  }

  /**
   * Returns a machine without tasks to the cloud if it is drained or has been idle for long enough.
   *
   * @param bin the machine's bin; null if the plan could not use the machine or it has reservations
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
    } else if (hasIdleTimeoutElapsed(machine)) {
      cloud.scaleIn().returnMachine(machine, ScaleInReason.IDLE);
    }
  }

  private boolean hasIdleTimeoutElapsed(MachineState machine) {
    double idleTimeoutMs = bootMs(machine) * context.settings.operator().idleBootShare();
    return context.nowMs() - machine.lifecycle().idleSinceMs() > idleTimeoutMs
        && context.nowMs() - machine.lifecycle().knownSinceMs() > MIN_CHARGE_MS;
  }

  private double bootMs(MachineState machine) {
    MachineType type = fleet.typeOf(machine);
    return type == null ? 0 : type.bootS() * MS_PER_S;
  }
}
