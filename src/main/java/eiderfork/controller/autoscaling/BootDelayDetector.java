package eiderfork.controller.autoscaling;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.MachineKind;
import eiderfork.model.MachineType;
import java.util.HashSet;
import java.util.Set;

/** Detects machines that boot late or have failed to boot, and kinds of machine that boot late. */
final class BootDelayDetector {
  /** A boot counts as late after this many times the type's boot time. */
  private static final double LATE_BOOT_FACTOR = 2.0;

  /** A boot counts as failed after this many times the type's boot time. */
  private static final double FAILED_BOOT_FACTOR = 4.0;

  /**
   * The time, in worker leases, that an unreachable machine is kept in addition to the boot time of
   * a replacement. A machine that hangs or is disconnected usually recovers before a replacement
   * would be ready, and its tasks are placed elsewhere after the first lease. A machine that has
   * died disappears from the cloud's list before that.
   */
  static final int UNREACHABLE_GRACE_LEASES = 2;

  private final ControllerContext context;

  BootDelayDetector(ControllerContext context) {
    this.context = context;
  }

  /** Returns whether the machine's boot is late, so that plans should not rely on the machine. */
  boolean isLate(MachineState machine, MachineType type) {
    return isHeartbeatOverdue(machine, type, LATE_BOOT_FACTOR, 0);
  }

  /** Returns whether the machine's boot has failed. */
  boolean hasFailed(MachineState machine, MachineType type) {
    return isHeartbeatOverdue(machine, type, FAILED_BOOT_FACTOR, type.bootS() * 1000);
  }

  /**
   * Returns whether a machine without a heartbeat in this term should have sent one by now. A
   * running machine may not have found the new leader yet, so it has {@link
   * #UNREACHABLE_GRACE_LEASES} for that regardless of its age.
   */
  private boolean isHeartbeatOverdue(
      MachineState machine, MachineType type, double bootFactor, double graceMs) {
    return machine.lifecycle().firstRunningMs() > 0
        ? context.nowMs() - machine.lifecycle().firstRunningMs()
            > UNREACHABLE_GRACE_LEASES * context.workerLeaseMs() + graceMs
        : context.nowMs() - machine.lifecycle().knownSinceMs() > type.bootS() * 1000 * bootFactor;
  }

  /** Returns the kinds for which at least half of the recently requested machines are late. */
  Set<MachineKind> lateKinds(MachineRegistry fleet) {
    Multiset<MachineKind> recent = HashMultiset.create();
    Multiset<MachineKind> late = HashMultiset.create();
    for (MachineState machine : fleet.machines()) {
      MachineType type = fleet.typeOf(machine);
      if (machine.lifecycle().isScalingIn() || type == null || isPastBootWindow(machine, type)) {
        continue;
      }
      MachineKind kind =
          new MachineKind(machine.spec().type(), machine.spec().zone(), machine.spec().spot());
      recent.add(kind);
      if (machine.lastHeartbeat() == null && isLate(machine, type)) {
        late.add(kind);
      }
    }
    Set<MachineKind> kinds = new HashSet<>(late.elementSet());
    kinds.removeIf(kind -> late.count(kind) * 2 < recent.count(kind));
    return kinds;
  }

  private boolean isPastBootWindow(MachineState machine, MachineType type) {
    return context.nowMs() - machine.lifecycle().knownSinceMs()
        > FAILED_BOOT_FACTOR * type.bootS() * 1000;
  }
}
