package eiderfork.controller.registry;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.Resources;

/**
 * What decides which machines suit the tasks of a job: jobs with equal profiles share the results
 * of searches. {@link JobRegistry} interns profiles, so that they are compared by identity.
 */
public record PlacementProfile(
    Resources taskResources, ImmutableSet<String> allowedTypes, boolean spotAllowed, String image) {
  /** The profile of a job's tasks. */
  public static PlacementProfile of(Job job) {
    return new PlacementProfile(
        job.taskResources(), job.allowedTypes(), job.spotAllowed(), job.image());
  }
}
