package eiderfork.model;

import com.google.common.collect.ImmutableSet;

/**
 * What a user submitted; never changes once accepted.
 *
 * @param allowedTypes allowed machine types, null for any
 * @param requiredZone the only allowed zone, null for any
 * @param deadlineS null for none
 */
public record Job(
    String uid,
    String jobClass,
    String team,
    JobKind kind,
    Priority priority,
    int tasks,
    Resources taskResources,
    ImmutableSet<String> allowedTypes,
    String requiredZone,
    boolean singleZone,
    boolean spreadZones,
    boolean spotAllowed,
    String image,
    double imageGb,
    double estimatedRunS,
    double checkpointIntervalS,
    double saveDurationS,
    Double deadlineS) {
  /** The most tasks that a job may have. */
  public static final int MAX_TASKS = 100_000;

  /** Whether the job's tasks may run on machines of this type. */
  public boolean allowsType(String type) {
    return allowedTypes == null || allowedTypes.contains(type);
  }

  /** Whether the job's tasks may run in this zone, as far as the job names one. */
  public boolean allowsZone(String candidateZone) {
    return requiredZone == null || requiredZone.equals(candidateZone);
  }

  /** The most tasks of this job that one zone may hold. */
  public int maxTasksPerZone() {
    return spreadZones ? (tasks + 1) / 2 : tasks;
  }
}
