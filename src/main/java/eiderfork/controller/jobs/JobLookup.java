package eiderfork.controller.jobs;

import eiderfork.controller.message.UserResponse;
import eiderfork.model.JobStatus;

/** The result of looking up a job's status in the store. */
sealed interface JobLookup {
  /** The store holds the job, or the final state of an archived one. */
  record Found(JobStatus status) implements JobLookup {}

  /** The store does not hold the job. */
  record NotFound() implements JobLookup {}

  /** The store could not be read, or holds a record that can't be read. */
  record Unavailable() implements JobLookup {}

  /** The response to a user's request that this result ends. */
  default UserResponse toResponse(UserResponse whenNotFound) {
    if (this instanceof Found found) {
      return UserResponse.ok(found.status());
    }
    return this instanceof NotFound ? whenNotFound : UserResponse.unavailable();
  }
}
