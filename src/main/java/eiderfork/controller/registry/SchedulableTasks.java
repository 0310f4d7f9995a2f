package eiderfork.controller.registry;

/**
 * The pending tasks of a job whose retry delay is over. For a suspected job this is a single task:
 * the one with the fewest failures.
 */
final class SchedulableTasks {
  private static final int NONE = -1;

  private final JobTasks tasks;
  private final FailureHistory failureHistory;

  SchedulableTasks(JobTasks tasks, FailureHistory failureHistory) {
    this.tasks = tasks;
    this.failureHistory = failureHistory;
  }

  /** The index of the first task that may be tried, or -1. */
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

  /** The index of the next task after {@code index} that may be tried, or -1. */
  int next(int index, long nowMs) {
    return failureHistory.isSuspected() ? NONE : nextRetryable(index, nowMs);
  }

  private int nextRetryable(int previous, long nowMs) {
    int index = tasks.nextPending(previous + 1);
    while (index >= 0 && !failureHistory.canRetry(index, nowMs)) {
      index = tasks.nextPending(index + 1);
    }
    return index;
  }
}
