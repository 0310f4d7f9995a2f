package eiderfork.controller.scheduling;

import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import java.util.Comparator;
import java.util.List;

/**
 * A way to free capacity for one task on a machine.
 *
 * @param victims the tasks that have to leave the machine
 * @param cost the work lost and the wait for the image, in seconds weighted by size
 */
record PreemptionOption(MachineState machine, List<Victim> victims, double cost) {
  /** Orders options by cost, then by the registration order of their machines. */
  static final Comparator<PreemptionOption> CHEAPEST_FIRST =
      Comparator.comparingDouble(PreemptionOption::cost)
          .thenComparingInt(PreemptionOption::machineNumber);

  /**
   * A task that has to leave the machine.
   *
   * @param preemption how the task is preempted; null for a replica that migrates
   */
  record Victim(Reservation reservation, PreemptionPolicy.TaskPreemption preemption, double cost) {
    boolean isMigrated() {
      return preemption == null;
    }
  }

  private int machineNumber() {
    return machine.number();
  }

  /** Returns the victims that migrate. */
  List<Reservation> migratedReplicas() {
    return victims.stream().filter(Victim::isMigrated).map(Victim::reservation).toList();
  }

  /** Returns the preemptions of the other victims. */
  List<PreemptionPolicy.TaskPreemption> preemptions() {
    return victims.stream().filter(victim -> !victim.isMigrated()).map(Victim::preemption).toList();
  }

  /** Returns the time until the last preempted task has ended. */
  double delayS() {
    return preemptions().stream()
        .mapToDouble(preemption -> preemption.plan().delayS())
        .max()
        .orElse(0);
  }
}
