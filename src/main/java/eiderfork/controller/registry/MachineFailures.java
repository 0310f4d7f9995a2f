package eiderfork.controller.registry;

import java.util.HashSet;
import java.util.Set;

/** The jobs that failed on a machine, and whether the machine is considered faulty. */
public final class MachineFailures {
  /** Jobs whose task ended here with an error since a task last succeeded here. */
  private final Set<String> failedJobs = new HashSet<>();

  /** Those of them that have since succeeded on another machine. */
  private final Set<String> jobsFailedOnlyHere = new HashSet<>();

  private boolean faulty;

  /** Whether the machine gets no further tasks and is to be returned. */
  public boolean isFaulty() {
    return faulty;
  }

  /** The machine is considered faulty for good. */
  public void markFaulty() {
    faulty = true;
  }

  /** A task of this job ended here with an error. */
  public void recordFailure(String jobUid) {
    failedJobs.add(jobUid);
  }

  /** Whether a task of this job failed here since a task last succeeded here. */
  public boolean hasFailed(String jobUid) {
    return failedJobs.contains(jobUid);
  }

  /** A job that failed here succeeded on another machine. */
  public void recordSuccessElsewhere(String jobUid) {
    jobsFailedOnlyHere.add(jobUid);
  }

  /** A task succeeded here, so that earlier failures say nothing of the machine. */
  public void recordSuccess() {
    failedJobs.clear();
    jobsFailedOnlyHere.clear();
  }

  /** The job itself is at fault, so that its failure says nothing of the machine. */
  public void discardFailure(String jobUid) {
    failedJobs.remove(jobUid);
    jobsFailedOnlyHere.remove(jobUid);
  }

  /** How many jobs failed here. */
  public int failedJobCount() {
    return failedJobs.size();
  }

  /** How many of the jobs that failed here succeeded elsewhere. */
  public int failedOnlyHereCount() {
    return jobsFailedOnlyHere.size();
  }
}
