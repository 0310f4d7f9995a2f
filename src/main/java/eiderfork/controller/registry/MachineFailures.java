package eiderfork.controller.registry;

import java.util.HashSet;
import java.util.Set;

/** The jobs that failed on a machine, and its faulty mark. */
public final class MachineFailures {
  /** Uids of jobs of which a task failed on this machine since a task last succeeded on it. */
  private final Set<String> failedJobs = new HashSet<>();

  /** The uids among {@code failedJobs} of jobs that have since succeeded on another machine. */
  private final Set<String> jobsFailedOnlyHere = new HashSet<>();

  private boolean faulty;

  /** Returns whether the machine is faulty: it gets no further tasks and is to be returned. */
  public boolean isFaulty() {
    return faulty;
  }

  /** Marks the machine as faulty; the mark is never removed. */
  public void markFaulty() {
    faulty = true;
  }

  /** Records that a task of this job failed on this machine. */
  public void recordFailure(String jobUid) {
    failedJobs.add(jobUid);
  }

  /**
   * Returns whether a task of this job failed on this machine since a task last succeeded on it.
   */
  public boolean hasFailed(String jobUid) {
    return failedJobs.contains(jobUid);
  }

  /** Records that a job that failed on this machine succeeded on another one. */
  public void recordSuccessElsewhere(String jobUid) {
    jobsFailedOnlyHere.add(jobUid);
  }

  /** Clears earlier failures after a task succeeded on this machine. */
  public void recordSuccess() {
    failedJobs.clear();
    jobsFailedOnlyHere.clear();
  }

  /** Removes the failure of a job that is at fault itself, so that it does not count here. */
  public void discardFailure(String jobUid) {
    failedJobs.remove(jobUid);
    jobsFailedOnlyHere.remove(jobUid);
  }

  /** The number of jobs that failed on this machine. */
  public int failedJobCount() {
    return failedJobs.size();
  }

  /** The number of jobs that failed on this machine and succeeded on another one. */
  public int failedOnlyHereCount() {
    return jobsFailedOnlyHere.size();
  }
}
