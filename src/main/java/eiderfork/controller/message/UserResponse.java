package eiderfork.controller.message;

import eiderfork.model.JobStatus;

/**
 * The response to a user.
 *
 * @param job null unless {@code status} is 200 or 201
 * @param retryAfterS when to retry; 0 where that is left open
 */
public record UserResponse(int status, JobStatus job, int retryAfterS, String error) {
  /** Whether the request was not served now, and may be repeated. */
  public boolean isUnavailable() {
    return status == 503;
  }

  /** The job is in this state. */
  public static UserResponse ok(JobStatus job) {
    return new UserResponse(200, job, 0, null);
  }

  /** The job was accepted just now. */
  public static UserResponse created(JobStatus job) {
    return new UserResponse(201, job, 0, null);
  }

  /** The request is refused for good. */
  public static UserResponse refused(int status, String error) {
    return new UserResponse(status, null, 0, error);
  }

  /** The request can be repeated after so many seconds. */
  public static UserResponse retryAfter(int seconds, String error) {
    return new UserResponse(503, null, seconds, error);
  }

  /** The response where it is not known whether anything was done. */
  public static UserResponse unavailable() {
    return retryAfter(1, "the state service can't be reached");
  }
}
