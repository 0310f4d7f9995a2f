package eiderfork.core;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.Resources;

/**
 * What decides which machines the tasks of a job find good: jobs that agree in it share what was
 * found out for one of them. {@link JobTable} holds one object for all equal ones, so that they are
 * told apart without a look inside.
 */
record TaskProfile(Resources need, ImmutableSet<String> types, boolean spot, String image) {
  static TaskProfile of(Job job) {
    return new TaskProfile(job.need(), job.types(), job.spot(), job.image());
  }
}
