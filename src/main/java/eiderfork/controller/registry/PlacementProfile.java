package eiderfork.controller.registry;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.Resources;

/**
 * The properties of a job that determine which machines suit its tasks. Jobs with equal profiles
 * share search results. {@link JobRegistry} interns profiles, so that they can be compared by
 * identity.
 */
public record PlacementProfile(
    Resources taskResources, ImmutableSet<String> allowedTypes, boolean spotAllowed, String image) {
  /** Returns the profile of a job's tasks. */
  public static PlacementProfile of(Job job) {
    return new PlacementProfile(
        job.taskResources(), job.allowedTypes(), job.spotAllowed(), job.image());
  }
}
