package eiderfork.controller.message;

import eiderfork.model.JobStatus;

/**
 * The response to a user's request.
 *
 * @param status the HTTP status
 * @param job the job's status; null unless {@code status} is 200 or 201
 * @param retryAfterS the delay after which to retry; 0 if unspecified
 * @param error the error text; null if {@code status} is 200 or 201
 */
public record UserResponse(int status, JobStatus job, int retryAfterS, String error) {
  /** Returns whether the request was not served and may be retried. */
  public boolean isUnavailable() {
    return status == 503;
  }

  /** Returns the response with the status of an existing job. */
  public static UserResponse ok(JobStatus job) {
    return new UserResponse(200, job, 0, null);
  }

  /** Returns the response to a submission that was accepted. */
  public static UserResponse created(JobStatus job) {
    return new UserResponse(201, job, 0, null);
  }

  /** Returns the response that refuses a request permanently. */
  public static UserResponse refused(int status, String error) {
    return new UserResponse(status, null, 0, error);
  }

  /** Returns the response that asks to retry after a delay. */
  public static UserResponse retryAfter(int seconds, String error) {
    return new UserResponse(503, null, seconds, error);
  }

  /** Returns the response for a request whose outcome is unknown. */
  public static UserResponse unavailable() {
    return retryAfter(1, "the state service can't be reached");
  }
}
