package eiderfork.controller;

import eiderfork.model.Job;
import java.util.HashMap;
import java.util.Map;

/** Where a job allows its tasks to run, given its other tasks. */
final class PlacementConstraints {
  /** The key of tasks in {@link #countTasksByZone} whose machine is known by name only. */
  private static final String UNKNOWN_ZONE = "";

  private PlacementConstraints() {}

  /** How many tasks of a job each zone holds. */
  static Map<String, Integer> countTasksByZone(JobState job) {
    Map<String, Integer> tasksByZone = new HashMap<>();
    for (Reservation reservation : job.reservations().values()) {
      String zone = reservation.machine.zone();
      tasksByZone.merge(zone, 1, Integer::sum);
    }
    return tasksByZone;
  }

  /**
   * Whether a zone may take one more task of a job. A new leader may know machines of reservations
   * by name only; those could be in any zone, and are counted in each.
   */
  static boolean canZoneAccept(
      Job job, String zone, Map<String, Integer> tasksByZone, int maxTasks) {
    int unknown = tasksByZone.getOrDefault(UNKNOWN_ZONE, 0);
    if (job.singleZone()
        && (unknown > 0 || !(tasksByZone.isEmpty() || tasksByZone.containsKey(zone)))) {
      return false;
    }
    return tasksByZone.getOrDefault(zone, 0) + (job.spreadZones() ? unknown : 0) < maxTasks;
  }

  /** Whether the job's tasks may run on this kind of machine, in its zone. */
  static boolean isMachineAllowed(Job job, MachineState machine) {
    return job.allowsType(machine.spec().type())
        && job.allowsZone(machine.zone())
        && (job.spotAllowed() || !machine.spec().spot());
  }
}
