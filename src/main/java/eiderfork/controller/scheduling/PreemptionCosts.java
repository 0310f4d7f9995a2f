package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import eiderfork.model.TaskStatus;

/** Cost estimates for preempting a task that all policies share. */
final class PreemptionCosts {
  /** The downtime of a preempted gang in addition to its save, in steps. */
  private static final double GANG_RESTART_STEPS = 2;

  /** The cost of a missed deadline, as a multiple of the task's estimated run time. */
  private static final double MISSED_DEADLINE_RUNS = 4;

  private final ControllerContext context;
  private final CpusPerGpu cpusPerGpu;
  private final DeadlineEstimator deadlines;

  PreemptionCosts(ControllerContext context, CpusPerGpu cpusPerGpu, DeadlineEstimator deadlines) {
    this.context = context;
    this.cpusPerGpu = cpusPerGpu;
    this.deadlines = deadlines;
  }

  /** Returns whether the task is known to run, with a known start time. */
  static boolean isKnownRunning(Reservation task) {
    return task.reportedState() == TaskStatus.State.RUNNING && task.runningSinceMs() != 0;
  }

  /** Returns the run time of the task; 0 if it was not seen running. */
  double runS(Reservation task) {
    return task.runningSinceMs() == 0 ? 0 : (context.nowMs() - task.runningSinceMs()) / 1000.0;
  }

  /**
   * Returns the cost of missing a deadline because the task has to be rerun; 0 if none would be
   * missed.
   */
  double missedDeadlineS(Reservation task) {
    return deadlines.isLateIfRerun(task)
        ? task.job().spec().estimatedRunS() * MISSED_DEADLINE_RUNS
        : 0;
  }

  /**
   * Returns the share of the cost of preempting a whole gang that is attributed to one of its tasks
   * on a machine.
   *
   * @param costS the cost for each task of the gang
   */
  double gangShareS(Reservation task, double costS) {
    return (costS + GANG_RESTART_STEPS * context.stepS()) * gangTasksPerTaskOnMachine(task);
  }

  private static double gangTasksPerTaskOnMachine(Reservation task) {
    long onMachine =
        task.machine().reservations().stream().filter(other -> other.job() == task.job()).count();
    return task.job().spec().tasks() / (double) onMachine;
  }

  /** Returns the size of a job's task, by which its cost is weighted. */
  double weight(Job spec) {
    return cpusPerGpu.gpuWeight(spec.taskResources());
  }
}
