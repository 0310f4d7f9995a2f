package eiderfork.controller.registry;

/**
 * The pending tasks of a job that may be tried now, as far as its own failures go. Of a suspected
 * job there is one only: the task that failed least.
 */
final class SchedulableTasks {
  private static final int NONE = -1;

  private final JobTasks tasks;
  private final FailureHistory failureHistory;

  SchedulableTasks(JobTasks tasks, FailureHistory failureHistory) {
    this.tasks = tasks;
    this.failureHistory = failureHistory;
  }

  /** The first task that may be tried, or -1. */
  int first(long nowMs) {
    int first = nextRetryable(NONE, nowMs);
    if (!failureHistory.isSuspected()) {
      return first;
    }
    int best = first;
    for (int index = first; index >= 0; index = nextRetryable(index, nowMs)) {
      if (failureHistory.failureCount(index) < failureHistory.failureCount(best)) {
        best = index;
      }
    }
    return best;
  }

  /** The task that may be tried after this one, or -1. */
  int next(int after, long nowMs) {
    return failureHistory.isSuspected() ? NONE : nextRetryable(after, nowMs);
  }

  private int nextRetryable(int after, long nowMs) {
    int index = tasks.nextPending(after + 1);
    while (index >= 0 && !failureHistory.canRetry(index, nowMs)) {
      index = tasks.nextPending(index + 1);
    }
    return index;
  }
}
