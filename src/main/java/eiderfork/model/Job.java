package eiderfork.model;

import com.google.common.collect.ImmutableSet;

/**
 * What a user submitted; never changes once accepted.
 *
 * @param types allowed machine types, null for any
 * @param zone the only allowed zone, null for any
 * @param deadlineS null for none
 */
public record Job(
    String uid,
    String jobClass,
    String team,
    JobKind kind,
    Priority priority,
    int tasks,
    Resources need,
    ImmutableSet<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    String image,
    double imageGb,
    double estimateS,
    double checkpointS,
    double saveS,
    Double deadlineS) {
  /** The most tasks that a job may have. */
  public static final int MOST_TASKS = 100_000;

  /** Whether the job's tasks may run on machines of this type. */
  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }

  /** Whether the job's tasks may run in this zone, as far as the job names one. */
  public boolean allowsZone(String z) {
    return zone == null || zone.equals(z);
  }

  /** The most tasks of this job that one zone may hold. */
  public int perZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
