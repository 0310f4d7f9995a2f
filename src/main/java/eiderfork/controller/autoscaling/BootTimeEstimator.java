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

/** Judges which machines should have booted by now, and which kinds boot late. */
final class BootTimeEstimator {
  /** A boot that takes this many times the usual counts as late. */
  private static final double LATE_BOOT_FACTOR = 2.0;

  /** A boot that takes this many times the usual counts as failed. */
  private static final double FAILED_BOOT_FACTOR = 4.0;

  /**
   * How long an unreachable machine is kept beside the time that another one would take to boot, in
   * worker leases. A machine that hangs or is cut off mostly recovers before a new one would be
   * ready, and its tasks are placed elsewhere after the first lease. A machine that has died is
   * missing from the cloud's list before that.
   */
  static final int UNREACHABLE_GRACE_LEASES = 2;

  private final ControllerContext context;

  BootTimeEstimator(ControllerContext context) {
    this.context = context;
  }

  /** Whether the machine's boot is late, so that plans don't rely on it. */
  boolean isLate(MachineState machine, MachineType type) {
    return isOverdue(machine, type, LATE_BOOT_FACTOR, 0);
  }

  /** Whether the machine's boot has failed. */
  boolean hasFailed(MachineState machine, MachineType type) {
    return isOverdue(machine, type, FAILED_BOOT_FACTOR, type.bootS() * 1000);
  }

  /**
   * Whether a machine without a heartbeat in this term should have sent one. A running machine may
   * not have found a new leader yet, and gets some leases' time for that whatever its age.
   */
  private boolean isOverdue(
      MachineState machine, MachineType type, double bootFactor, double graceMs) {
    return machine.lifecycle().firstRunningMs() > 0
        ? context.nowMs() - machine.lifecycle().firstRunningMs()
            > UNREACHABLE_GRACE_LEASES * context.workerLeaseMs() + graceMs
        : context.nowMs() - machine.lifecycle().knownSinceMs() > type.bootS() * 1000 * bootFactor;
  }

  /** The kinds of which at least half of the machines requested lately are late. */
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
