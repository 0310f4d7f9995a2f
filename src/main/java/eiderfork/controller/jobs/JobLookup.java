package eiderfork.controller.jobs;

import eiderfork.controller.message.UserResponse;
import eiderfork.model.JobStatus;

/** The result of looking up a job's status in the store. */
sealed interface JobLookup {
  /** The store holds the job or its archived record. */
  record Found(JobStatus status) implements JobLookup {}

  /** The store does not hold the job. */
  record NotFound() implements JobLookup {}

  /** The store could not be reached, or a record of the job is unreadable. */
  record Unavailable() implements JobLookup {}

  /** Returns the response to a user's request that this result answers. */
  default UserResponse toResponse(UserResponse whenNotFound) {
    if (this instanceof Found found) {
      return UserResponse.ok(found.status());
    }
    return this instanceof NotFound ? whenNotFound : UserResponse.unavailable();
  }
}
