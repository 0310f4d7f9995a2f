package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import eiderfork.model.TaskStatus;

/** What preempting a task costs, as far as all policies agree on it. */
final class PreemptionCosts {
  /** How long a gang does not run when it is preempted, beside its save, in steps. */
  private static final double GANG_RESTART_STEPS = 2;

  /** How many runs of a task its job's deadline is worth when a victim is chosen. */
  private static final double MISSED_DEADLINE_RUNS = 4;

  private final ControllerContext context;
  private final CpusPerGpu cpusPerGpu;
  private final DeadlineEstimator deadlines;

  PreemptionCosts(ControllerContext context, CpusPerGpu cpusPerGpu, DeadlineEstimator deadlines) {
    this.context = context;
    this.cpusPerGpu = cpusPerGpu;
    this.deadlines = deadlines;
  }

  /** Whether the task is known to run, and since when. */
  static boolean isKnownRunning(Reservation task) {
    return task.reportedState() == TaskStatus.State.RUNNING && task.runningSinceMs() != 0;
  }

  /** How long the task has run; 0 where it was not seen running. */
  double runS(Reservation task) {
    return task.runningSinceMs() == 0 ? 0 : (context.nowMs() - task.runningSinceMs()) / 1000.0;
  }

  /** What it costs if the job misses a deadline because the task has to run again; else 0. */
  double missedDeadlineS(Reservation task) {
    return deadlines.isLateIfRerun(task)
        ? task.job().spec().estimatedRunS() * MISSED_DEADLINE_RUNS
        : 0;
  }

  /**
   * The share of the cost of preempting a whole gang that falls to one of its tasks on a machine.
   *
   * @param costS what each task of the gang loses
   */
  double gangShareS(Reservation task, double costS) {
    return (costS + GANG_RESTART_STEPS * context.stepS()) * gangTasksPerTaskOnMachine(task);
  }

  private static double gangTasksPerTaskOnMachine(Reservation task) {
    long onMachine =
        task.machine().reservations().stream().filter(other -> other.job() == task.job()).count();
    return task.job().spec().tasks() / (double) onMachine;
  }

  /** The size by which the cost of a job's task is weighted. */
  double weight(Job spec) {
    return cpusPerGpu.gpuWeight(spec.taskResources());
  }
}
