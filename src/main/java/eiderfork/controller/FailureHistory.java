package eiderfork.controller;

import eiderfork.model.StoredRecord;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * How the tasks of a job have failed, and when they are tried again.
 *
 * <p>A task that failed waits for longer after each failure. A job that failed on several machines,
 * and of which nothing ended well since, is suspected to fail everywhere: it is tried with one task
 * at a time, after a delay that grows with the tries, until one of them does well.
 */
final class FailureHistory {
  /** A job that fails on this many machines in a row is itself suspected. */
  private static final int SUSPECT_MACHINES = 2;

  /** A job that fails on this many machines is itself at fault; no machine is blamed or avoided. */
  private static final int JOB_FAULT_MACHINES = 3;

  /** For so many steps after its last failure a job avoids the machines that it failed on. */
  private static final int AVOID_STEPS = 30;

  /** The delay doubles with each try up to this many times: to 32 steps. */
  private static final int MAX_DOUBLINGS = 5;

  /** A new leader suspects a job of this many attempts, see {@link #restore}. */
  private static final int SUSPECT_ATTEMPTS = 4;

  /** What a task is taken to run before it fails where no leader of now has seen one fail. */
  private static final int INHERITED_RUN_STEPS = 4;

  /** A task that runs for this many times what others ran before they failed does well. */
  private static final int SURVIVAL_FACTOR = 2;

  private final long stepMs;
  private final Set<String> failedMachines = new HashSet<>();
  private final Int2IntOpenHashMap failuresByTask = new Int2IntOpenHashMap();
  private final Int2LongOpenHashMap retryAtMs = new Int2LongOpenHashMap();

  /** Tries in a row of which no task ended well; tasks reserved together are one try. */
  private int consecutiveFailedTries;

  /** Attempts up to this one are part of a try that has been counted. */
  private long lastCountedAttempt;

  private long longestRunMs;
  private long lastFailureMs;
  private boolean suspected;

  /** Suspected for what an earlier leader left, and not for failures that this one has seen. */
  private boolean inherited;

  private long notBeforeMs;

  FailureHistory(long stepMs) {
    this.stepMs = stepMs;
  }

  /**
   * A task failed.
   *
   * @param lastAttempt the newest attempt of the job: what was reserved by now is of the same try
   */
  void recordFailure(Reservation reservation, long lastAttempt, long nowMs) {
    failedMachines.add(reservation.machine.name);
    lastFailureMs = nowMs;
    int failures = failuresByTask.addTo(reservation.taskIndex, 1) + 1;
    retryAtMs.put(reservation.taskIndex, nowMs + delayMs(failures));
    if (reservation.runningSinceMs() > 0) {
      longestRunMs = Math.max(longestRunMs, nowMs - reservation.runningSinceMs());
    }
    if (reservation.attempt > lastCountedAttempt) {
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

  /** A task was refused by its machine; the job waits for a step. */
  void recordRefusal(long nowMs) {
    notBeforeMs = Math.max(notBeforeMs, nowMs + stepMs);
  }

  /** A task of the job does well: the job is not at fault as a whole. */
  void recordSuccess() {
    consecutiveFailedTries = 0;
    inherited = false;
    if (suspected) {
      suspected = false;
      notBeforeMs = 0;
    }
  }

  /**
   * A new leader takes the job up. Its predecessor's history is lost, but a job of many attempts of
   * which nothing is done, and one task is reserved at most, goes on being tried with one task.
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
  boolean isSuspected() {
    return suspected;
  }

  /**
   * Whether a task that runs since then has outlived those that failed. A new leader has seen none
   * of them fail: an array that was stopped for others again and again looks like one that fails,
   * so a while is enough.
   */
  boolean hasOutlivedFailures(Reservation reservation, long nowMs) {
    long failedMs = longestRunMs > 0 ? longestRunMs : INHERITED_RUN_STEPS * stepMs;
    return reservation.runningSinceMs() > 0
        && nowMs - reservation.runningSinceMs() > SURVIVAL_FACTOR * Math.max(failedMs, stepMs);
  }

  /**
   * Whether failures that this leader has seen make the job a suspect, so that nothing is rented
   * for it.
   */
  boolean isConfirmedSuspect() {
    return suspected && !inherited;
  }

  /** Before this time nothing of the job is tried. */
  long notBeforeMs() {
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

  /** Whether the job was failed by so many machines that it is itself at fault. */
  boolean isJobAtFault() {
    return failedMachines.size() >= JOB_FAULT_MACHINES;
  }

  /**
   * Whether the job should rather run on another machine than this one. Not for ever: where the
   * others are full, a plan counts on the room here and rents no more.
   */
  boolean isAvoided(String machine, long nowMs) {
    return failedMachines.contains(machine)
        && !isJobAtFault()
        && nowMs - lastFailureMs < AVOID_STEPS * stepMs;
  }

  /** The machines on which a task of the job failed. */
  Set<String> failedMachines() {
    return Collections.unmodifiableSet(failedMachines);
  }
}
