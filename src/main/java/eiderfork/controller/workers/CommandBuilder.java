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

/**
 * Builds the commands for a worker from its newest heartbeat and the reservations on its machine.
 */
public final class CommandBuilder {
  /**
   * The time by which a checkpoint may exceed its expected duration before the task is killed, in
   * steps.
   */
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

  /** Returns the commands that stop the machine's tasks of cancelled jobs. */
  ImmutableList<WorkerCommand> stopsOfCancelledJobs(MachineState machine) {
    return stopsOfCancelledJobs(machine.reportedTasks(), cancellations);
  }

  /**
   * Returns the commands that stop those of the given tasks whose job is cancelled. They may be
   * sent without access to the store and before recovery, because a confirmed cancellation is
   * final.
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

  /**
   * Builds all commands that the worker needs now, and records the starts among them as sent in
   * their reservations.
   */
  ImmutableList<WorkerCommand> build(MachineState machine) {
    List<WorkerCommand> commands = new ArrayList<>();
    boolean isConsistent = addStopsAndClears(machine, commands);
    if (commands.stream().anyMatch(WorkerCommand.Clear.class::isInstance)) {
      machine.commandChannel().invalidateDirectStarts();
    }
    if (liveness.isSchedulable(machine) && canProxyInvalidateStarts(machine)) {
      addStarts(machine, commands);
    }
    machine.commandChannel().clearCommandDue();
    machine.recordReconciliation(isConsistent);
    return ImmutableList.copyOf(commands);
  }

  /**
   * Adds a kill or clear command for each reported task that needs one.
   *
   * @return whether the reported tasks match the reservations
   */
  private boolean addStopsAndClears(MachineState machine, List<WorkerCommand> commands) {
    Set<Attempt> committed = committedAttempts(machine);
    boolean isConsistent = machine.reportedTasks().size() == machine.reservations().size();
    for (TaskStatus task : machine.reportedTasks()) {
      Attempt attempt = task.attempt();
      if (jobs.isFrozen(attempt.task().jobUid())) {
        isConsistent = false;
        continue;
      }
      JobState job = jobs.get(attempt.task().jobUid());
      Reservation reservation =
          job == null || !committed.contains(attempt)
              ? null
              : job.reservations().get(attempt.task().index());
      isConsistent &= reservation != null && matchesReservation(task, reservation);
      addStopOrClear(commands, task, job, reservation);
    }
    return isConsistent;
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

  /**
   * Returns whether the task is in the state that its reservation asks for. Always false for tasks
   * of gangs, so that they are reconciled at every heartbeat.
   */
  private static boolean matchesReservation(TaskStatus task, Reservation reservation) {
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

  /**
   * Returns whether the task's checkpoint has exceeded its time limit. Such a task is killed
   * without a grace period: it would never end by itself, and its GPUs are needed.
   */
  private boolean isCheckpointOverdue(Reservation reservation) {
    return context.settings.operator().isLendingEnabled()
        && reservation.job().gang() == null
        && reservation.isSaveOverdue(context.nowMs(), CHECKPOINT_MARGIN_STEPS * context.stepMs());
  }

  /**
   * Returns whether a lease proxy that raises the token which the worker has reported would make it
   * reject a start that is sent now.
   */
  private static boolean canProxyInvalidateStarts(MachineState machine) {
    long lead = machine.commandChannel().fencingToken() - machine.lastHeartbeat().fencingToken();
    return lead < ProxyFencingTokens.INCREMENT;
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
