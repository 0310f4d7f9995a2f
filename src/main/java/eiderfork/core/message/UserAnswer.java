package eiderfork.core.message;

import eiderfork.model.JobStatus;

/**
 * The answer to a user.
 *
 * @param job null unless {@code status} is 200 or 201
 * @param retryAfterS when to come back; 0 for not said
 */
public record UserAnswer(int status, JobStatus job, int retryAfterS, String error) {
  /** The job is in this state. */
  public static UserAnswer ok(JobStatus job) {
    return new UserAnswer(200, job, 0, null);
  }

  /** The job was accepted just now. */
  public static UserAnswer created(JobStatus job) {
    return new UserAnswer(201, job, 0, null);
  }

  /** The request is refused for good. */
  public static UserAnswer refused(int status, String error) {
    return new UserAnswer(status, null, 0, error);
  }

  /** The request can be repeated after so many seconds. */
  public static UserAnswer later(int seconds, String error) {
    return new UserAnswer(503, null, seconds, error);
  }

  /** The answer where it is not known whether anything was done. */
  public static UserAnswer unavailable() {
    return later(1, "the state service can't be reached");
  }
}
