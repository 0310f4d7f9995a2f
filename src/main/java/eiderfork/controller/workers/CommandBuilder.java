package eiderfork.controller.workers;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Attempt;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Derives a worker's commands from its newest heartbeat and the reservations on its machine. */
public final class CommandBuilder {
  /** How much longer than it should a checkpoint may take before it is given up, in steps. */
  public static final int CHECKPOINT_MARGIN_STEPS = 3;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final CancellationTracker cancellations;
  private final MachineLiveness liveness;
  private final ReservationReconciler reconciler;

  CommandBuilder(
      ControllerContext context,
      JobRegistry jobs,
      CancellationTracker cancellations,
      MachineLiveness liveness,
      ReservationReconciler reconciler) {
    this.context = context;
    this.jobs = jobs;
    this.cancellations = cancellations;
    this.liveness = liveness;
    this.reconciler = reconciler;
  }

  /** The commands that stop the machine's tasks of cancelled jobs. */
  ImmutableList<WorkerCommand> stopsOfCancelledJobs(MachineState machine) {
    return stopsOfCancelledJobs(machine.reportedTasks(), cancellations);
  }

  /**
   * The commands that stop those of the tasks whose job is cancelled. They are right without the
   * store and before anything is recovered: a confirmed cancellation is final.
   */
  static ImmutableList<WorkerCommand> stopsOfCancelledJobs(
      List<TaskStatus> tasks, CancellationTracker cancellations) {
    ImmutableList.Builder<WorkerCommand> commands = ImmutableList.builder();
    for (TaskStatus task : tasks) {
      if (!task.hasEnded() && cancellations.contains(task.attempt().task().jobUid())) {
        commands.add(new WorkerCommand.Kill(task.attempt(), 0));
      }
    }
    return commands.build();
  }

  /** All commands that the worker needs now; the reservations record their starts as sent. */
  ImmutableList<WorkerCommand> build(MachineState machine) {
    List<WorkerCommand> commands = new ArrayList<>();
    boolean agrees = addStopsAndClears(machine, commands);
    if (commands.stream().anyMatch(WorkerCommand.Clear.class::isInstance)) {
      machine.commandChannel().invalidateDirectStarts();
    }
    if (liveness.isSchedulable(machine)) {
      addStarts(machine, commands);
    }
    machine.commandChannel().clearCommandDue();
    machine.recordReconciliation(agrees);
    return ImmutableList.copyOf(commands);
  }

  /** Compares the reported tasks with the reservations; whether they agree. */
  private boolean addStopsAndClears(MachineState machine, List<WorkerCommand> commands) {
    Set<Attempt> committed = committedAttempts(machine);
    boolean agrees = machine.reportedTasks().size() == machine.reservations().size();
    for (TaskStatus task : machine.reportedTasks()) {
      Attempt attempt = task.attempt();
      if (jobs.isFrozen(attempt.task().jobUid())) {
        agrees = false;
        continue;
      }
      JobState job = jobs.get(attempt.task().jobUid());
      Reservation reservation =
          job == null || !committed.contains(attempt)
              ? null
              : job.reservations().get(attempt.task().index());
      agrees &= reservation != null && isAsReserved(task, reservation);
      addStopOrClear(commands, task, job, reservation);
    }
    return agrees;
  }

  private static Set<Attempt> committedAttempts(MachineState machine) {
    Set<Attempt> committed = new HashSet<>();
    for (Reservation reservation : machine.reservations()) {
      if (reservation.isCommitted()) {
        committed.add(reservation.toAttempt());
      }
    }
    return committed;
  }

  /** Whether the task is as its reservation wants it; gangs are compared at every heartbeat. */
  private static boolean isAsReserved(TaskStatus task, Reservation reservation) {
    return reservation.isDesired() && reservation.job().gang() == null && isActive(task);
  }

  private static boolean isActive(TaskStatus task) {
    return task.state() == TaskStatus.State.RUNNING || task.state() == TaskStatus.State.FETCHING;
  }

  private void addStopOrClear(
      List<WorkerCommand> commands, TaskStatus task, JobState job, Reservation reservation) {
    Attempt attempt = task.attempt();
    if (task.hasEnded()) {
      if (reservation == null && !mustRetain(job, attempt)) {
        commands.add(new WorkerCommand.Clear(attempt));
      }
    } else if (reservation == null) {
      commands.add(new WorkerCommand.Kill(attempt, 0));
    } else if (!reservation.isDesired()) {
      double graceS = isCheckpointOverdue(reservation) ? 0 : reservation.stopGraceS();
      commands.add(new WorkerCommand.Kill(attempt, graceS));
    }
  }

  private boolean mustRetain(JobState job, Attempt attempt) {
    return job != null && jobs.mustRetainAttempt(job, attempt.number(), attempt.task().index());
  }

  /** A checkpoint that hangs is given up: its GPUs are needed, and the task would never end. */
  private boolean isCheckpointOverdue(Reservation reservation) {
    return context.settings.operator().isLendingEnabled()
        && reservation.job().gang() == null
        && reservation.isSaveOverdue(context.nowMs(), CHECKPOINT_MARGIN_STEPS * context.stepMs());
  }

  private void addStarts(MachineState machine, List<WorkerCommand> commands) {
    for (Reservation reservation : machine.reservations()) {
      if (reservation.canStart() && !reservation.job().isCancelling()) {
        commands.add(new WorkerCommand.Run(reservation.toAttempt()));
        reservation.onStartSent(
            machine.commandChannel().fencingToken(), machine.incarnation().number());
        reconciler.recordImageUse(machine, reservation);
      }
    }
  }
}
