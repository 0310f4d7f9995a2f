package eiderfork.controller.scheduling;

import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import java.util.HashMap;
import java.util.Map;

/** Where a job allows its tasks to run, given its other tasks. */
public final class PlacementConstraints {
  /** The key in {@link #countTasksByZone} of tasks whose machine is known by name only. */
  private static final String UNKNOWN_ZONE = "";

  private PlacementConstraints() {}

  /** How many tasks of a job each zone holds. */
  public static Map<String, Integer> countTasksByZone(JobState job) {
    Map<String, Integer> tasksByZone = new HashMap<>();
    for (Reservation reservation : job.reservations().values()) {
      tasksByZone.merge(reservation.machine().zone(), 1, Integer::sum);
    }
    return tasksByZone;
  }

  /**
   * Whether a zone may take one more task of a job. A new leader may know machines of reservations
   * by name only; those could be in any zone, and are counted in each.
   */
  public static boolean canZoneAccept(
      Job spec, String zone, Map<String, Integer> tasksByZone, int maxTasks) {
    int unknown = tasksByZone.getOrDefault(UNKNOWN_ZONE, 0);
    boolean hasOtherZone = unknown > 0 || !(tasksByZone.isEmpty() || tasksByZone.containsKey(zone));
    if (spec.singleZone() && hasOtherZone) {
      return false;
    }
    return tasksByZone.getOrDefault(zone, 0) + (spec.spreadZones() ? unknown : 0) < maxTasks;
  }

  /** Whether the job's tasks may run on this kind of machine, in its zone. */
  static boolean isMachineAllowed(Job spec, MachineState machine) {
    return spec.allowsType(machine.spec().type())
        && spec.allowsZone(machine.zone())
        && (spec.spotAllowed() || !machine.spec().spot());
  }
}
