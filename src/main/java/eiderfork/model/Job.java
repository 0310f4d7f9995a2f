package eiderfork.model;

import com.google.common.collect.ImmutableSet;

/**
 * A job as its user submitted it; immutable once accepted.
 *
 * @param tasks the number of tasks
 * @param taskResources the resources that each task requires
 * @param allowedTypes the allowed machine types; null for any
 * @param requiredZone the only allowed zone; null for any
 * @param singleZone whether all tasks have to run in the same zone
 * @param spreadZones whether at most half of the tasks may run in the same zone
 * @param spotAllowed whether tasks may run on spot machines
 * @param imageGb the size of the image
 * @param estimatedRunS the estimated duration of a task
 * @param checkpointIntervalS the interval between checkpoints; 0 if tasks save none periodically
 * @param saveDurationS the time that a task takes to save a checkpoint when it is stopped
 * @param deadlineS the deadline; null for none
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
  /** The maximum number of tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  /** Returns whether the job's tasks may run on machines of this type. */
  public boolean allowsType(String type) {
    return allowedTypes == null || allowedTypes.contains(type);
  }

  /** Returns whether the job's required zone, if any, is this zone. */
  public boolean allowsZone(String candidateZone) {
    return requiredZone == null || requiredZone.equals(candidateZone);
  }

  /** Returns the maximum number of the job's tasks in a zone. */
  public int maxTasksPerZone() {
    return spreadZones ? (tasks + 1) / 2 : tasks;
  }
}
