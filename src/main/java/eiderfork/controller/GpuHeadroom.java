package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.JobKind;
import java.util.List;

/** Which jobs have to leave free GPUs the processors that GPU work takes, while such work waits. */
final class GpuHeadroom {
  private final ControllerContext context;
  private boolean isGpuWorkWaiting;

  GpuHeadroom(ControllerContext context) {
    this.context = context;
  }

  /** Begins a round with these jobs. */
  void beginRound(List<JobState> ranked) {
    isGpuWorkWaiting = ranked.stream().anyMatch(GpuHeadroom::isWaitingForGpus);
  }

  private static boolean isWaitingForGpus(JobState job) {
    return job.hasPendingTasks() && job.spec.taskResources().gpus() > 0;
  }

  /**
   * Whether free GPUs are spared from the job. Arrays without GPUs that took their processors left
   * 132 GPUs of spot machines idle for minutes, since work of one priority does not preempt. Such
   * an array does not wait for ever, and less long where it has not begun.
   */
  boolean appliesTo(JobState job) {
    long sparesMs = QueueOrder.OVERDUE_MS * (job.lastAttempt() == 0 ? 1 : 2);
    boolean overdue = context.nowMs - job.firstSeenMs > sparesMs;
    boolean withoutGpus = job.spec.kind() == JobKind.ARRAY && job.spec.taskResources().gpus() <= 0;
    return isGpuWorkWaiting && withoutGpus && !overdue;
  }
}
