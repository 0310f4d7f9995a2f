package eiderfork.controller.scheduling;

import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import java.util.HashMap;
import java.util.Map;

/** Constraints on the zones and machines of a job's tasks, including its zone spread. */
public final class PlacementConstraints {
  /** The key in {@link #countTasksByZone} for tasks on machines that are known by name only. */
  private static final String UNKNOWN_ZONE = "";

  private PlacementConstraints() {}

  /** Returns the number of a job's tasks in each zone. */
  public static Map<String, Integer> countTasksByZone(JobState job) {
    Map<String, Integer> tasksByZone = new HashMap<>();
    for (Reservation reservation : job.reservations().values()) {
      tasksByZone.merge(reservation.machine().zone(), 1, Integer::sum);
    }
    return tasksByZone;
  }

  /**
   * Returns whether a zone may take one more task of a job. A new leader may know the machines of
   * some reservations by name only; since they could be in any zone, their tasks are counted in
   * each zone.
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

  /** Returns whether the job's tasks may run on a machine of this type, zone and purchase model. */
  static boolean isMachineAllowed(Job spec, MachineState machine) {
    return spec.allowsType(machine.spec().type())
        && spec.allowsZone(machine.zone())
        && (spec.spotAllowed() || !machine.spec().spot());
  }
}
