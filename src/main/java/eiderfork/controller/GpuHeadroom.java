package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.JobKind;
import java.util.List;

/** Which jobs have to leave free GPUs the processors that GPU work takes, while such work waits. */
final class GpuHeadroom {
  private final ControllerContext context;
  private boolean gpusWanted;

  GpuHeadroom(ControllerContext context) {
    this.context = context;
  }

  /** Begins a round with these jobs. */
  void begin(List<JobState> ranked) {
    gpusWanted = ranked.stream().anyMatch(GpuHeadroom::waitsForGpus);
  }

  private static boolean waitsForGpus(JobState entry) {
    return !entry.waiting.isEmpty() && entry.job.need().gpus() > 0;
  }

  /**
   * Whether free GPUs are spared from the job. Arrays without GPUs that took their processors left
   * 132 GPUs of spot machines idle for minutes, since work of one priority does not preempt. Such
   * an array does not wait for ever, and less long where it has not begun.
   */
  boolean isFrom(JobState entry) {
    long sparesMs = QueueOrder.LATE_TURN_MS * (entry.lastAttempt == 0 ? 1 : 2);
    boolean overdue = context.nowMs - entry.sinceMs > sparesMs;
    boolean withoutGpus = entry.job.kind() == JobKind.ARRAY && entry.job.need().gpus() <= 0;
    return gpusWanted && withoutGpus && !overdue;
  }
}
