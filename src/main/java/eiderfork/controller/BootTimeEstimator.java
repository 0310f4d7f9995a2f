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
  private static final double LATE_BOOT = 2.0;

  /** A boot that takes this many times the usual will not end. */
  private static final double FAILED_BOOT = 4.0;

  /**
   * A machine that nobody hears is given this many leases before it is returned. What hangs or is
   * cut off is mostly back before another would have booted, and its tasks are placed anew after
   * the first of them whatever becomes of it. Returned at once, seven machines that hung for 20 s
   * were missing for a boot time on top. It gets the time that another would take to boot beside
   * that: of a zone cut off for longer than two leases all machines were once given back. One that
   * has died is known from the cloud's list by then.
   */
  static final int SILENCE_LEASES = 2;

  private final ControllerContext context;

  BootTimeEstimator(ControllerContext context) {
    this.context = context;
  }

  /** Whether a machine is not to be counted on any more. */
  boolean isLate(MachineState m, MachineType type) {
    return isOverdue(m, type, LATE_BOOT, 0);
  }

  /** Whether a machine will not come up at all. */
  boolean hasFailed(MachineState m, MachineType type) {
    return isOverdue(m, type, FAILED_BOOT, type.bootS() * 1000);
  }

  /**
   * Whether a machine that has not reported in this term should have. One that is up may only not
   * have found a new leader yet: it has some leases' time for that, whatever its age. Without this
   * a new leader returned healthy machines in its first seconds.
   */
  private boolean isOverdue(MachineState m, MachineType type, double boots, double graceMs) {
    return m.upMs > 0
        ? context.nowMs - m.upMs > SILENCE_LEASES * context.leaseMs() + graceMs
        : context.nowMs - m.sinceMs > type.bootS() * 1000 * boots;
  }

  /** The kinds of machine of which half of those rented lately should be up by now and are not. */
  Set<CloudProvisioner.Kind> lateKinds(MachineRegistry fleet) {
    Multiset<CloudProvisioner.Kind> recent = HashMultiset.create();
    Multiset<CloudProvisioner.Kind> late = HashMultiset.create();
    for (MachineState m : fleet.machines()) {
      MachineType type = fleet.type(m);
      if (m.returning || type == null || isOld(m, type)) {
        continue;
      }
      CloudProvisioner.Kind kind =
          new CloudProvisioner.Kind(m.machine.type(), m.machine.zone(), m.machine.spot());
      recent.add(kind);
      if (m.report() == null && isLate(m, type)) {
        late.add(kind);
      }
    }
    Set<CloudProvisioner.Kind> kinds = new HashSet<>(late.elementSet());
    kinds.removeIf(kind -> late.count(kind) * 2 < recent.count(kind));
    return kinds;
  }

  private boolean isOld(MachineState m, MachineType type) {
    return context.nowMs - m.sinceMs > FAILED_BOOT * type.bootS() * 1000;
  }
}
