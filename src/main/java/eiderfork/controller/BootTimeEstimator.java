package eiderfork.controller;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import eiderfork.controller.context.ControllerContext;
import eiderfork.model.MachineType;
import java.util.HashSet;
import java.util.Set;

/** Which machines should have come up by now, and which kinds come up late. */
final class BootTimeEstimator {
  /** A boot that takes this many times the usual is not counted on any more. */
  private static final double LATE_BOOT_FACTOR = 2.0;

  /** A boot that takes this many times the usual will not end. */
  private static final double FAILED_BOOT_FACTOR = 4.0;

  /**
   * A machine that nobody hears is given this many leases before it is returned. What hangs or is
   * cut off is mostly back before another would have booted, and its tasks are placed anew after
   * the first of them whatever becomes of it. Returned at once, seven machines that hung for 20 s
   * were missing for a boot time on top. It gets the time that another would take to boot beside
   * that: of a zone cut off for longer than two leases all machines were once given back. One that
   * has died is known from the cloud's list by then.
   */
  static final int UNREACHABLE_GRACE_LEASES = 2;

  private final ControllerContext context;

  BootTimeEstimator(ControllerContext context) {
    this.context = context;
  }

  /** Whether a machine is not to be counted on any more. */
  boolean isLate(MachineState machine, MachineType type) {
    return isOverdue(machine, type, LATE_BOOT_FACTOR, 0);
  }

  /** Whether a machine will not come up at all. */
  boolean hasFailed(MachineState machine, MachineType type) {
    return isOverdue(machine, type, FAILED_BOOT_FACTOR, type.bootS() * 1000);
  }

  /**
   * Whether a machine that has not reported in this term should have. One that is up may only not
   * have found a new leader yet: it has some leases' time for that, whatever its age. Without this
   * a new leader returned healthy machines in its first seconds.
   */
  private boolean isOverdue(
      MachineState machine, MachineType type, double bootFactor, double graceMs) {
    return machine.lifecycle().firstRunningMs() > 0
        ? context.nowMs - machine.lifecycle().firstRunningMs()
            > UNREACHABLE_GRACE_LEASES * context.workerLeaseMs() + graceMs
        : context.nowMs - machine.lifecycle().knownSinceMs() > type.bootS() * 1000 * bootFactor;
  }

  /** The kinds of machine of which half of those rented lately should be up by now and are not. */
  Set<CloudProvisioner.MachineKind> lateKinds(MachineRegistry fleet) {
    Multiset<CloudProvisioner.MachineKind> recent = HashMultiset.create();
    Multiset<CloudProvisioner.MachineKind> late = HashMultiset.create();
    for (MachineState machine : fleet.machines()) {
      MachineType type = fleet.typeOf(machine);
      if (machine.lifecycle().isScalingIn() || type == null || isPastBootWindow(machine, type)) {
        continue;
      }
      CloudProvisioner.MachineKind kind =
          new CloudProvisioner.MachineKind(
              machine.spec().type(), machine.spec().zone(), machine.spec().spot());
      recent.add(kind);
      if (machine.lastHeartbeat() == null && isLate(machine, type)) {
        late.add(kind);
      }
    }
    Set<CloudProvisioner.MachineKind> kinds = new HashSet<>(late.elementSet());
    kinds.removeIf(kind -> late.count(kind) * 2 < recent.count(kind));
    return kinds;
  }

  private boolean isPastBootWindow(MachineState machine, MachineType type) {
    return context.nowMs - machine.lifecycle().knownSinceMs()
        > FAILED_BOOT_FACTOR * type.bootS() * 1000;
  }
}
