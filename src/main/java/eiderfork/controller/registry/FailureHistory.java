package eiderfork.controller.registry;

import eiderfork.model.StoredRecord;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * How the tasks of a job have failed, and when they are retried.
 *
 * <p>A task that failed waits for longer after each failure. A job that failed on several machines,
 * and of which no task succeeded since, is suspected to fail everywhere: it is tried with one task
 * at a time, after a delay that grows with the tries, until one of them succeeds.
 */
public final class FailureHistory {
  /** A job that fails on this many machines in a row is suspected. */
  private static final int SUSPECT_MACHINES = 2;

  /** A job that fails on this many machines is at fault; no machine is marked faulty or avoided. */
  private static final int JOB_FAULT_MACHINES = 3;

  /** How long after its last failure a job avoids the machines that it failed on, in steps. */
  private static final int AVOID_STEPS = 30;

  /** The delay doubles with each try up to this many times, which makes 32 steps. */
  private static final int MAX_DOUBLINGS = 5;

  /** A new leader suspects a job of this many attempts, see {@link #restore}. */
  private static final int SUSPECT_ATTEMPTS = 4;

  /** How long a task is assumed to run before it fails, where this leader has seen none fail. */
  private static final int INHERITED_RUN_STEPS = 4;

  /** A task succeeds once it has run this many times longer than those that failed. */
  private static final int SURVIVAL_FACTOR = 2;

  private final long stepMs;
  private final Set<String> failedMachines = new HashSet<>();
  private final Int2IntOpenHashMap failuresByTask = new Int2IntOpenHashMap();
  private final Int2LongOpenHashMap retryAtMs = new Int2LongOpenHashMap();

  /** Consecutive tries without a success; tasks reserved together are one try. */
  private int consecutiveFailedTries;

  /** Attempts up to this one are part of a try that has been counted. */
  private long lastCountedAttempt;

  private long longestRunMs;
  private long lastFailureMs;
  private boolean suspected;

  /** Suspected because of what an earlier leader left, not for failures that this one has seen. */
  private boolean inherited;

  private long notBeforeMs;

  /** Makes an empty history; retry delays are multiples of {@code stepMs}. */
  public FailureHistory(long stepMs) {
    this.stepMs = stepMs;
  }

  /**
   * Records that a task failed.
   *
   * @param lastAttempt the newest attempt of the job: what was reserved by now is of the same try
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

  /** Records that a machine refused a task; the job waits for a step. */
  public void recordRefusal(long nowMs) {
    notBeforeMs = Math.max(notBeforeMs, nowMs + stepMs);
  }

  /** Records that a task of the job succeeds, so that the job as a whole is not at fault. */
  public void recordSuccess() {
    consecutiveFailedTries = 0;
    inherited = false;
    if (suspected) {
      suspected = false;
      notBeforeMs = 0;
    }
  }

  /**
   * Restores the history of a job from its allocation. An earlier leader's history is lost, but a
   * job of many attempts without a finished task, and with one reserved at most, stays suspected.
   */
  void restore(StoredRecord.Allocation allocation, int tasks) {
    long lastAttempt = allocation.lastAttempt();
    lastCountedAttempt = lastAttempt;
    int reserved = allocation.reservedTaskCount();
    boolean seemsOnTrial = allocation.finished().isEmpty() && reserved <= 1 && reserved < tasks;
    if (seemsOnTrial && lastAttempt >= SUSPECT_ATTEMPTS) {
      suspected = true;
      inherited = true;
      consecutiveFailedTries = (int) Math.min(lastAttempt, MAX_DOUBLINGS + 1);
    }
  }

  private long delayMs(int failures) {
    return stepMs << Math.min(MAX_DOUBLINGS, Math.max(0, failures - 2));
  }

  /** Whether the job seems to fail everywhere, and is tried with one task at a time. */
  public boolean isSuspected() {
    return suspected;
  }

  /**
   * Whether a running task has outlived those that failed. A new leader has seen none of them fail,
   * and an array that was preempted often looks like one that fails, so a short run is enough.
   */
  public boolean hasOutlivedFailures(Reservation reservation, long nowMs) {
    long failedMs = longestRunMs > 0 ? longestRunMs : INHERITED_RUN_STEPS * stepMs;
    return reservation.runningSinceMs() > 0
        && nowMs - reservation.runningSinceMs() > SURVIVAL_FACTOR * Math.max(failedMs, stepMs);
  }

  /**
   * Whether failures that this leader has seen make the job a suspect, so that no machines are
   * added for it.
   */
  public boolean isConfirmedSuspect() {
    return suspected && !inherited;
  }

  /** The time before which no task of the job is tried. */
  public long notBeforeMs() {
    return notBeforeMs;
  }

  /** Whether this task may be tried now, as far as its own failures go. */
  boolean canRetry(int index, long nowMs) {
    return retryAtMs.isEmpty() || retryAtMs.get(index) <= nowMs;
  }

  /** How often this task has failed. */
  int failureCount(int index) {
    return failuresByTask.get(index);
  }

  /** Whether the job failed on so many machines that it is at fault, not the machines. */
  public boolean isJobAtFault() {
    return failedMachines.size() >= JOB_FAULT_MACHINES;
  }

  /**
   * Whether the job should rather run on another machine. This ends after a time, since the
   * autoscaler counts on the free capacity here while the other machines are full.
   */
  public boolean isAvoided(String machine, long nowMs) {
    return failedMachines.contains(machine)
        && !isJobAtFault()
        && nowMs - lastFailureMs < AVOID_STEPS * stepMs;
  }

  /** The machines on which a task of the job failed. */
  public Set<String> failedMachines() {
    return Collections.unmodifiableSet(failedMachines);
  }
}
