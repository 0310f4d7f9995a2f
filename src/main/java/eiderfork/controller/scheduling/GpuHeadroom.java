package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobState;
import eiderfork.model.JobKind;
import java.util.List;

/** Decides which jobs have to leave free GPUs the CPUs that pending GPU work needs. */
final class GpuHeadroom {
  private final ControllerContext context;
  private boolean isGpuWorkPending;

  GpuHeadroom(ControllerContext context) {
    this.context = context;
  }

  void beginRound(List<JobState> queue) {
    isGpuWorkPending = queue.stream().anyMatch(GpuHeadroom::isWaitingForGpus);
  }

  private static boolean isWaitingForGpus(JobState job) {
    return job.hasPendingTasks() && job.spec().taskResources().gpus() > 0;
  }

  /**
   * Returns whether the job has to leave the headroom. Arrays without GPUs could leave GPUs idle,
   * since work of the same priority does not preempt them. The restriction ends after a bounded
   * wait, which is shorter for an array that has not started.
   */
  boolean appliesTo(JobState job) {
    long maxWaitMs = QueueOrder.OVERDUE_MS * (job.lastAttempt() == 0 ? 1 : 2);
    boolean isOverdue = context.nowMs() - job.firstSeenMs() > maxWaitMs;
    boolean isArrayWithoutGpus =
        job.spec().kind() == JobKind.ARRAY && job.spec().taskResources().gpus() <= 0;
    return isGpuWorkPending && isArrayWithoutGpus && !isOverdue;
  }
}
