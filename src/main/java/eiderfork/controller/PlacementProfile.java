package eiderfork.controller;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.Resources;

/**
 * What decides which machines the tasks of a job find good: jobs that agree in it share what was
 * found out for one of them. {@link JobRegistry} holds one object for all equal ones, so that they
 * are told apart without a look inside.
 */
record PlacementProfile(
    Resources taskResources, ImmutableSet<String> allowedTypes, boolean spotAllowed, String image) {
  static PlacementProfile of(Job job) {
    return new PlacementProfile(
        job.taskResources(), job.allowedTypes(), job.spotAllowed(), job.image());
  }
}
