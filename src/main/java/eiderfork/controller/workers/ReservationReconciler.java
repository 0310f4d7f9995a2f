package eiderfork.controller.workers;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Attempt;
import eiderfork.model.Heartbeat;
import eiderfork.model.MachineType;
import eiderfork.model.TaskStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Updates reservations from heartbeats, and settles the reservations of tasks that a heartbeat
 * shows to have ended.
 */
final class ReservationReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(ReservationReconciler.class);

  private final ControllerContext context;
  private final LeaderElection election;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final FaultDetector faultDetector;
  private final Runnable requestRound;

  ReservationReconciler(
      ControllerContext context,
      LeaderElection election,
      JobRegistry jobs,
      MachineRegistry fleet,
      Runnable requestRound) {
    this.context = context;
    this.election = election;
    this.jobs = jobs;
    this.fleet = fleet;
    this.requestRound = requestRound;
    faultDetector = new FaultDetector(fleet);
  }

  /** Updates the reservations on a machine from its newest heartbeat. */
  void reconcile(MachineState machine) {
    if (machine.lastHeartbeat() == null) {
      return;
    }
    Map<Attempt, TaskStatus> reported = new HashMap<>();
    for (TaskStatus task : machine.reportedTasks()) {
      reported.put(task.attempt(), task);
    }
    for (Reservation reservation : List.copyOf(machine.reservations())) {
      TaskStatus task = reported.get(reservation.toAttempt());
      if (task == null) {
        reconcileMissingTask(machine, reservation);
      } else if (task.hasEnded()) {
        reconcileEndedTask(machine, reservation, task);
      } else {
        reconcileLiveTask(machine, reservation, task);
      }
    }
  }

  private void reconcileLiveTask(MachineState machine, Reservation reservation, TaskStatus task) {
    reconcileImage(machine, reservation, task);
    reservation.onStateReported(task.state());
    if (reservation.job().gang() != null) {
      reconcileGang(machine, reservation);
    } else if (reservation.reportedState() == TaskStatus.State.CHECKPOINTING
        && context.settings.operator().isLendingEnabled()) {
      reconcileCheckpoint(reservation);
    }
  }

  /**
   * Updates the machine's images from a task's state. This is how a new leader learns which images
   * a machine has.
   */
  private void reconcileImage(MachineState machine, Reservation reservation, TaskStatus task) {
    String image = reservation.job().spec().image();
    if (task.state() == TaskStatus.State.RUNNING && reservation.runningSinceMs() == 0) {
      reservation.onRunningReported(context.nowMs());
      recordImageUse(machine, reservation);
      machine.images().recordReadyTime(image, context.nowMs());
    }
    if (task.state() == TaskStatus.State.FETCHING && !machine.images().hasReadyTime(image)) {
      machine.images().remove(image);
      recordImageUse(machine, reservation);
    }
  }

  /**
   * Records that a task is checkpointing. Such a task was told to stop, by this leader or an
   * earlier one. A new leader must not count it as one that continues to run, or it would preempt
   * another task in its place.
   */
  private void reconcileCheckpoint(Reservation reservation) {
    reservation.onSavingReported(context.nowMs());
    if (reservation.isDesired()) {
      reservation.requestStop();
      jobs.refreshIndexes(reservation.job());
    }
  }

  private void reconcileGang(MachineState machine, Reservation reservation) {
    if (!reservation.isDesired()) {
      return;
    }
    Double terminationNoticeS = machine.lastHeartbeat().terminationNoticeS();
    if (reservation.reportedState() == TaskStatus.State.CHECKPOINTING) {
      // An earlier leader has begun to stop the gang. The checkpoint of the whole gang fails if one
      // of its tasks is not stopped in time.
      reservation.job().gang().requestSave();
      jobs.refreshIndexes(reservation.job());
    } else if (terminationNoticeS != null
        && reservation.reportedState() == TaskStatus.State.RUNNING) {
      reservation.job().gang().onTerminationNotice(terminationNoticeS);
      jobs.refreshIndexes(reservation.job());
    }
  }

  private void reconcileMissingTask(MachineState machine, Reservation reservation) {
    if (!reservation.isCommitted()) {
      return;
    }
    boolean mayHaveEnded = !reservation.isDesired() || reservation.reportedState() != null;
    if (!mayHaveEnded) {
      return;
    }
    if (isStartOutdated(machine.lastHeartbeat(), reservation)) {
      jobs.settle(reservation, false);
      requestRound.run();
    } else if (reservation.startToken() >= machine.commandChannel().fencingToken()) {
      // Invalidates the unanswered start, so that a later heartbeat without the task proves that it
      // does not run.
      raiseFencingToken(machine);
    }
  }

  /** Returns whether the worker would reject a start command that is still in flight. */
  private boolean isStartOutdated(Heartbeat heartbeat, Reservation reservation) {
    boolean isLaterIncarnation =
        reservation.startIncarnation() > 0
            && heartbeat.incarnation() > reservation.startIncarnation();
    long newestStartToken = Math.max(reservation.startToken(), election.firstFencingToken() - 1);
    return isLaterIncarnation || heartbeat.fencingToken() > newestStartToken;
  }

  private void reconcileEndedTask(MachineState machine, Reservation reservation, TaskStatus task) {
    JobState job = reservation.job();
    switch (task.cause()) {
      case DONE -> {
        faultDetector.recordSuccess(machine, job);
        jobs.settle(reservation, true);
      }
      case ERROR -> {
        logFailure(machine, reservation.toAttempt());
        job.failureHistory()
            .recordFailure(reservation, job.nextAttemptNumber() - 1, context.nowMs());
        faultDetector.recordFailure(machine, job);
        jobs.settle(reservation, false);
      }
      case NO_ROOM, BUSY, UNKNOWN -> {
        logRefusal(machine, task);
        job.failureHistory().recordRefusal(context.nowMs());
        jobs.settle(reservation, false);
      }
      case STOPPED, PEER_LOST, GANG_INCOMPLETE -> jobs.settle(reservation, false);
    }
    requestRound.run();
  }

  private static void logFailure(MachineState machine, Attempt attempt) {
    LOG.info(
        "task-failed task={} attempt={} machine={}",
        attempt.task(),
        attempt.number(),
        machine.name());
  }

  private static void logRefusal(MachineState machine, TaskStatus task) {
    LOG.info(
        "task-refused task={} attempt={} machine={} cause={}",
        task.attempt().task(),
        task.attempt().number(),
        machine.name(),
        task.cause());
  }

  /** Raises the fencing token, so that the worker rejects all unanswered commands. */
  void raiseFencingToken(MachineState machine) {
    machine.commandChannel().raiseTokenAbove(election.firstFencingToken());
    machine.requestCommand();
  }

  /** Records that the machine fetches the task's image or reports that it has it. */
  void recordImageUse(MachineState machine, Reservation reservation) {
    MachineType type = fleet.typeOf(machine);
    String image = reservation.job().spec().image();
    if (type == null || image == null) {
      return;
    }
    double sizeGb = reservation.job().spec().imageGb();
    if (!machine.images().contains(image)) {
      long fetchMs = (long) (1000 * sizeGb / type.imageFetchGbPerS());
      machine.images().recordReadyTime(image, context.nowMs() + fetchMs);
    }
    machine.images().recordUse(image, sizeGb, type.imageCacheGb());
  }
}
