package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.model.MachineType;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.List;
import java.util.Map;

/** Gives back machines that no plan needs, that are lost or that can't be used. */
final class ScaleInPolicy {
  /** A returned machine costs this long at least. */
  static final long MIN_CHARGE_MS = 60_000;

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

  /** Gives back what the plan needs no more. */
  void returnUnneeded(List<Bin> bins) {
    Map<MachineState, Bin> packed = new Reference2ObjectOpenHashMap<>();
    for (Bin bin : bins) {
      if (bin.machine != null && bin.machine.reservations.isEmpty()) {
        packed.put(bin.machine, bin);
      }
    }
    int silent = 0;
    int live = 0;
    for (MachineState machine : fleet.machines()) {
      if (machine.lastHeartbeat() != null) {
        live++;
        silent += liveness.hasRecentHeartbeat(machine) ? 0 : 1;
      }
    }
    // When most are silent at once it is this node that is cut off, not they that are lost.
    boolean believe = silent * 2 <= live;
    for (MachineState machine : ImmutableList.copyOf(fleet.machines())) {
      if (machine.scalingIn || machine.spec == null) {
        continue;
      }
      MachineType type = fleet.typeOf(machine);
      double bootMs = type == null ? 0 : type.bootS() * 1000;
      long ageMs = context.nowMs - machine.knownSinceMs;
      if (machine.faulty) {
        cloud.returns().returnMachine(machine, ScaleInReason.FAULTY);
      } else if (machine.lastHeartbeat() == null) {
        if (type != null && bootTimes.hasFailed(machine, type)) {
          cloud.returns().returnSilent(machine, ScaleInReason.BOOT_FAILED);
        }
      } else if (believe
          && !leaseExpiry.isProxied(machine)
          && liveness.sinceLastContactMs(machine)
              > BootTimeEstimator.UNREACHABLE_GRACE_LEASES * context.workerLeaseMs() + bootMs) {
        cloud.returns().returnSilent(machine, ScaleInReason.SILENT);
      } else if (believe
          && liveness.hasRecentHeartbeat(machine)
          && liveness.isUnresponsive(machine)
          && isUnreachableForLong(machine)) {
        cloud.returns().returnMachine(machine, ScaleInReason.COMMANDS_LOST);
      } else if (machine.reservations.isEmpty() && machine.reportedTasks().isEmpty()) {
        Bin bin = packed.get(machine);
        boolean needed = bin != null && !bin.free.equals(machine.capacity);
        if (machine.draining) {
          cloud.returns().returnMachine(machine, ScaleInReason.DRAINED);
        } else if (needed) {
          machine.idleSinceMs = 0;
        } else if (machine.idleSinceMs == 0) {
          machine.idleSinceMs = context.nowMs;
        } else if (context.nowMs - machine.idleSinceMs
                > bootMs * context.settings.operator().idleBootShare()
            && ageMs > MIN_CHARGE_MS) {
          cloud.returns().returnMachine(machine, ScaleInReason.IDLE);
        }
      } else {
        machine.idleSinceMs = 0;
      }
    }
  }

  private boolean isUnreachableForLong(MachineState machine) {
    return context.nowMs - machine.unresponsiveSinceMs > context.workerLeaseMs();
  }
}
