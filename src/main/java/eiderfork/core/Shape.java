package eiderfork.core;

import com.google.common.collect.ImmutableSet;
import eiderfork.model.Job;
import eiderfork.model.Resources;

/**
 * What decides which machines the tasks of a job find good: jobs that agree in it share what was
 * found out for one of them. {@link JobBook} holds one object for all equal ones, so that they are
 * told apart without a look inside.
 */
record Shape(Resources need, ImmutableSet<String> types, boolean spot, String image) {
  static Shape of(Job job) {
    return new Shape(job.need(), job.types(), job.spot(), job.image());
  }
}
