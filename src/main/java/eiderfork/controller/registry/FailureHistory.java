package eiderfork.controller.registry;

import eiderfork.model.StoredRecord;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * The failures of a job's tasks and the times when they are retried.
 *
 * <p>The retry delay of a task grows with each of its failures. A job that has failed on several
 * machines with no success since is suspected to fail everywhere: only one of its tasks is tried at
 * a time, after a delay that grows with the number of tries, until one of them succeeds.
 */
public final class FailureHistory {
  /**
   * A job is suspected after this many consecutive failed tries if it has failed on this many
   * machines.
   */
  private static final int SUSPECT_MACHINES = 2;

  /**
   * A job that failed on this many machines is at fault itself; no machine is marked faulty or
   * avoided for its failures.
   */
  private static final int JOB_FAULT_MACHINES = 3;

  /** The time for which a job avoids the machines it failed on after its last failure, in steps. */
  private static final int AVOID_STEPS = 30;

  /** The maximum number of times that the delay doubles, which limits it to 32 steps. */
  private static final int MAX_DOUBLINGS = 5;

  /** A new leader may suspect a job from this many attempts on, see {@link #restore}. */
  private static final int SUSPECT_ATTEMPTS = 4;

  /**
   * The run time before a failure assumed for a job of which this leader has seen none, in steps.
   */
  private static final int INHERITED_RUN_STEPS = 4;

  /** A task counts as successful once it has run this many times longer than those that failed. */
  private static final int SURVIVAL_FACTOR = 2;

  private final long stepMs;
  private final Set<String> failedMachines = new HashSet<>();
  private final Int2IntOpenHashMap failuresByTask = new Int2IntOpenHashMap();
  private final Int2LongOpenHashMap retryAtMs = new Int2LongOpenHashMap();

  /** The number of consecutive failed tries; tasks reserved together are one try. */
  private int consecutiveFailedTries;

  /** The last attempt of the latest try that was counted as failed. */
  private long lastCountedAttempt;

  private long longestRunMs;
  private long lastFailureMs;
  private boolean suspected;

  /** True if the suspicion was restored from the allocation and not caused by observed failures. */
  private boolean inherited;

  private long notBeforeMs;

  /** Creates an empty history; retry delays are multiples of {@code stepMs}. */
  public FailureHistory(long stepMs) {
    this.stepMs = stepMs;
  }

  /**
   * Records that a task failed.
   *
   * @param lastAttempt the newest attempt of the job; all attempts up to it belong to the same try
   */
  public void recordFailure(Reservation reservation, long lastAttempt, long nowMs) {
    failedMachines.add(reservation.machine().name());
    lastFailureMs = nowMs;
    int failures = failuresByTask.addTo(reservation.taskIndex(), 1) + 1;
    retryAtMs.put(reservation.taskIndex(), nowMs + delayMs(failures));
    if (reservation.runningSinceMs() > 0) {
      longestRunMs = Math.max(longestRunMs, nowMs - reservation.runningSinceMs());
    }
    if (reservation.attempt() > lastCountedAttempt) {
      consecutiveFailedTries++;
      lastCountedAttempt = lastAttempt;
    }
    suspected |=
        consecutiveFailedTries >= SUSPECT_MACHINES && failedMachines.size() >= SUSPECT_MACHINES;
    inherited = false;
    if (suspected) {
      notBeforeMs = Math.max(notBeforeMs, nowMs + delayMs(consecutiveFailedTries));
    }
  }

  /** Records that a machine refused a task; the job is not tried again for one step. */
  public void recordRefusal(long nowMs) {
    notBeforeMs = Math.max(notBeforeMs, nowMs + stepMs);
  }

  /** Records that a task of the job succeeded, which ends the suspicion. */
  public void recordSuccess() {
    consecutiveFailedTries = 0;
    inherited = false;
    if (suspected) {
      suspected = false;
      notBeforeMs = 0;
    }
  }

  /**
   * Restores the suspicion of a job from its allocation. An earlier leader's history is not stored;
   * a job with many attempts, no finished task and at most one reservation is assumed to have been
   * suspected.
   */
  void restore(StoredRecord.Allocation allocation, int tasks) {
    long lastAttempt = allocation.lastAttempt();
    lastCountedAttempt = lastAttempt;
    int reserved = allocation.reservedTaskCount();
    boolean looksSuspected = allocation.finished().isEmpty() && reserved <= 1 && reserved < tasks;
    if (looksSuspected && lastAttempt >= SUSPECT_ATTEMPTS) {
      suspected = true;
      inherited = true;
      consecutiveFailedTries = (int) Math.min(lastAttempt, MAX_DOUBLINGS + 1);
    }
  }

  private long delayMs(int failures) {
    return stepMs << Math.min(MAX_DOUBLINGS, Math.max(0, failures - 2));
  }

  /** Returns whether the job is suspected to fail everywhere and is tried one task at a time. */
  public boolean isSuspected() {
    return suspected;
  }

  /**
   * Returns whether a running task has run for longer than those that failed. For a new leader,
   * which has seen none of them fail, a short run is enough, since an array that was preempted
   * often looks the same as one that fails.
   */
  public boolean hasOutlivedFailures(Reservation reservation, long nowMs) {
    long failedRunMs = longestRunMs > 0 ? longestRunMs : INHERITED_RUN_STEPS * stepMs;
    return reservation.runningSinceMs() > 0
        && nowMs - reservation.runningSinceMs() > SURVIVAL_FACTOR * Math.max(failedRunMs, stepMs);
  }

  /**
   * Returns whether the job is suspected because of failures that this leader has observed, so that
   * no machines are added for it.
   */
  public boolean isConfirmedSuspect() {
    return suspected && !inherited;
  }

  /** The earliest time at which a task of the job is tried. */
  public long notBeforeMs() {
    return notBeforeMs;
  }

  /** Returns whether the retry delay of this task is over. */
  boolean canRetry(int index, long nowMs) {
    return retryAtMs.isEmpty() || retryAtMs.get(index) <= nowMs;
  }

  /** The number of failures of this task. */
  int failureCount(int index) {
    return failuresByTask.get(index);
  }

  /**
   * Returns whether the job failed on so many machines that the job and not a machine is at fault.
   */
  public boolean isJobAtFault() {
    return failedMachines.size() >= JOB_FAULT_MACHINES;
  }

  /**
   * Returns whether the job should prefer another machine over this one. This is limited in time,
   * since the autoscaler counts this machine's free capacity as available to the job even if all
   * other machines are full.
   */
  public boolean isAvoided(String machine, long nowMs) {
    return failedMachines.contains(machine)
        && !isJobAtFault()
        && nowMs - lastFailureMs < AVOID_STEPS * stepMs;
  }

  /** The names of the machines on which a task of the job failed. */
  public Set<String> failedMachines() {
    return Collections.unmodifiableSet(failedMachines);
  }
}
