package eiderfork.controller;

import eiderfork.model.Job;
import java.util.HashMap;
import java.util.Map;

/** Where a job allows its tasks to run, given its other tasks. */
final class PlacementConstraints {
  /** The key of tasks in {@link #zonesOf} whose machine is known by name only. */
  private static final String UNKNOWN_ZONE = "";

  private PlacementConstraints() {}

  /** How many tasks of a job each zone holds. */
  static Map<String, Integer> zonesOf(JobState entry) {
    Map<String, Integer> perZone = new HashMap<>();
    for (Reservation p : entry.placed.values()) {
      String zone = p.machine.zone();
      perZone.merge(zone, 1, Integer::sum);
    }
    return perZone;
  }

  /**
   * Whether a zone may take one more task of a job. A new leader may know machines of reservations
   * by name only; those could be in any zone, and are counted in each.
   */
  static boolean zoneAccepts(Job job, String zone, Map<String, Integer> perZone, int most) {
    int unknown = perZone.getOrDefault(UNKNOWN_ZONE, 0);
    if (job.oneZone() && (unknown > 0 || !(perZone.isEmpty() || perZone.containsKey(zone)))) {
      return false;
    }
    return perZone.getOrDefault(zone, 0) + (job.spread() ? unknown : 0) < most;
  }

  /** Whether the job's tasks may run on this kind of machine, in its zone. */
  static boolean kindAllowed(Job job, MachineState m) {
    return job.allowsType(m.machine.type())
        && job.allowsZone(m.zone())
        && (job.spot() || !m.machine.spot());
  }
}
