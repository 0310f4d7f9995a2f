package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobState;
import eiderfork.model.JobKind;
import java.util.List;

/** Which jobs have to leave free GPUs the CPUs that GPU work needs, while such work is pending. */
final class GpuHeadroom {
  private final ControllerContext context;
  private boolean isGpuWorkPending;

  GpuHeadroom(ControllerContext context) {
    this.context = context;
  }

  /** Begins a round with these jobs. */
  void beginRound(List<JobState> queue) {
    isGpuWorkPending = queue.stream().anyMatch(GpuHeadroom::isWaitingForGpus);
  }

  private static boolean isWaitingForGpus(JobState job) {
    return job.hasPendingTasks() && job.spec().taskResources().gpus() > 0;
  }

  /**
   * Whether the job has to leave the headroom. Arrays without GPUs would keep GPUs idle, since work
   * of the same priority does not preempt them. Such an array does not wait for ever, and less long
   * where it has not begun.
   */
  boolean appliesTo(JobState job) {
    long maxWaitMs = QueueOrder.OVERDUE_MS * (job.lastAttempt() == 0 ? 1 : 2);
    boolean isOverdue = context.nowMs() - job.firstSeenMs() > maxWaitMs;
    boolean isArrayWithoutGpus =
        job.spec().kind() == JobKind.ARRAY && job.spec().taskResources().gpus() <= 0;
    return isGpuWorkPending && isArrayWithoutGpus && !isOverdue;
  }
}
