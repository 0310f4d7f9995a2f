package eiderfork.controller.scheduling;

import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import java.util.Comparator;
import java.util.List;

/**
 * A way to free capacity for one task on a machine.
 *
 * @param victims the tasks that have to leave the machine
 * @param cost the work that is thrown away, in seconds weighted by size
 */
record PreemptionOption(MachineState machine, List<Victim> victims, double cost) {
  /** The cheapest option first, and of equal ones the machine that is known for longest. */
  static final Comparator<PreemptionOption> CHEAPEST_FIRST =
      Comparator.comparingDouble(PreemptionOption::cost)
          .thenComparingInt(PreemptionOption::machineNumber);

  /**
   * A task that would have to leave.
   *
   * @param preemption how the task is preempted; null for a replica that is migrated
   */
  record Victim(Reservation reservation, PreemptionPolicy.TaskPreemption preemption, double cost) {
    boolean isMigrated() {
      return preemption == null;
    }
  }

  private int machineNumber() {
    return machine.number();
  }

  /** The victims that are migrated. */
  List<Reservation> migratedReplicas() {
    return victims.stream().filter(Victim::isMigrated).map(Victim::reservation).toList();
  }

  /** The victims that are preempted, and how. */
  List<PreemptionPolicy.TaskPreemption> preemptions() {
    return victims.stream().filter(victim -> !victim.isMigrated()).map(Victim::preemption).toList();
  }

  /** How long until the last of the preempted tasks has ended. */
  double delayS() {
    return preemptions().stream()
        .mapToDouble(preemption -> preemption.plan().delayS())
        .max()
        .orElse(0);
  }
}
