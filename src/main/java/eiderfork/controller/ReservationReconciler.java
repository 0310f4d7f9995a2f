package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.model.Attempt;
import eiderfork.model.MachineType;
import eiderfork.model.TaskStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Brings reservations up to what workers report, and settles those that a report proves over. */
final class ReservationReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(ReservationReconciler.class);

  /** Jobs that must fail on a machine, and on no other, to condemn it. */
  private static final int FAULTY_AFTER_JOBS = 2;

  /** The same where other work goes on beside them. */
  private static final int FAULTY_AFTER_JOBS_BESIDE_WORK = 4;

  private final ControllerContext context;
  private final LeaderElection election;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
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
  }

  /** Brings the reservations up to what the newest report shows. */
  void reconcile(MachineState machine) {
    if (machine.lastHeartbeat() == null) {
      return;
    }
    Map<Attempt, TaskStatus> shown = new HashMap<>();
    for (TaskStatus task : machine.reportedTasks()) {
      shown.put(task.attempt(), task);
    }
    for (Reservation reservation : List.copyOf(machine.reservations)) {
      TaskStatus task = shown.get(reservation.toAttempt());
      if (task == null) {
        reconcileMissingTask(machine, reservation);
      } else if (task.hasEnded()) {
        reconcileEndedTask(machine, reservation, task);
      } else {
        if (task.state() == TaskStatus.State.RUNNING && reservation.runningSinceMs() == 0) {
          reservation.onRunningReported(context.nowMs);
          // A new leader learns from what runs which images a machine has.
          recordImageUse(machine, reservation);
          machine.imageReadyMs.put(reservation.job.spec.image(), context.nowMs);
        }
        if (task.state() == TaskStatus.State.FETCHING
            && !machine.imageReadyMs.containsKey(reservation.job.spec.image())) {
          machine.cachedImagesGb.remove(reservation.job.spec.image());
          recordImageUse(machine, reservation);
        }
        reservation.onStateReported(task.state());
        if (reservation.job.gang != null) {
          reconcileGang(machine, reservation);
        } else if (reservation.reportedState() == TaskStatus.State.CHECKPOINTING
            && context.settings.operator().isLendingEnabled()) {
          reconcileCheckpoint(reservation);
        }
      }
    }
  }

  /**
   * A task that saves was told to stop, if not by this leader then by an older one. Without this a
   * new leader would take it for one that goes on, and stop another in its stead.
   */
  private void reconcileCheckpoint(Reservation reservation) {
    reservation.onSavingReported(context.nowMs);
    if (reservation.isDesired()) {
      reservation.requestStop();
      jobs.refreshIndexes(reservation.job);
    }
  }

  private void reconcileGang(MachineState machine, Reservation reservation) {
    if (reservation.reportedState() == TaskStatus.State.CHECKPOINTING && reservation.isDesired()) {
      // An older leader has begun to stop the gang; tasks that are not told in time lose the save.
      reservation.job.gang.requestSave();
      jobs.refreshIndexes(reservation.job);
    } else if (machine.lastHeartbeat().terminationNoticeS() != null
        && reservation.reportedState() == TaskStatus.State.RUNNING
        && reservation.isDesired()) {
      reservation.job.gang.onTerminationNotice(machine.lastHeartbeat().terminationNoticeS());
      jobs.refreshIndexes(reservation.job);
    }
  }

  private void reconcileMissingTask(MachineState machine, Reservation reservation) {
    if (!reservation.isCommitted()) {
      return;
    }
    boolean surely =
        machine.lastHeartbeat().incarnation() > reservation.startIncarnation()
                && reservation.startIncarnation() > 0
            || machine.lastHeartbeat().fencingToken()
                > Math.max(reservation.startToken(), election.firstFencingToken() - 1);
    if (!surely) {
      if ((!reservation.isDesired() || reservation.reportedState() != null)
          && reservation.startToken() >= machine.fencingToken) {
        // Outdates the unanswered start, so that its absence can be believed.
        raiseFencingToken(machine);
      }
      return;
    }
    if (!reservation.isDesired() || reservation.reportedState() != null) {
      jobs.settle(reservation, false);
      requestRound.run();
    }
  }

  private void reconcileEndedTask(MachineState machine, Reservation reservation, TaskStatus task) {
    JobState job = reservation.job;
    switch (task.cause()) {
      case DONE -> {
        machine.failedJobs.clear();
        machine.jobsFailedOnlyHere.clear();
        confirmFailuresElsewhere(machine, job);
        jobs.settle(reservation, true);
      }
      case ERROR -> {
        LOG.info("{} failed on {}", reservation.toAttempt(), machine.name);
        job.failureHistory.recordFailure(reservation, job.nextAttemptNumber() - 1, context.nowMs);
        recordFailure(machine, job);
        jobs.settle(reservation, false);
      }
      case NO_ROOM, BUSY, UNKNOWN -> {
        LOG.info("{} refused on {}: {}", reservation.toAttempt(), machine.name, task.cause());
        job.failureHistory.recordRefusal(context.nowMs);
        jobs.settle(reservation, false);
      }
      case STOPPED, PEER_LOST, GANG_INCOMPLETE -> jobs.settle(reservation, false);
    }
    requestRound.run();
  }

  /** Whether the machine is to blame for the failure, or the job. */
  private void recordFailure(MachineState machine, JobState job) {
    if (job.failureHistory.isJobAtFault()) {
      // It fails everywhere: no machine is to blame for it.
      clearFailures(job);
      return;
    }
    machine.failedJobs.add(job.spec.uid());
    markIfFaulty(machine);
  }

  /** A job ends well here: where it failed before, the machine is to blame. */
  private void confirmFailuresElsewhere(MachineState machine, JobState job) {
    if (job.failureHistory.isJobAtFault() || job.failureHistory.isSuspected()) {
      return;
    }
    for (String name : job.failureHistory.failedMachines()) {
      MachineState failed = fleet.get(name);
      if (failed != null && failed != machine && failed.failedJobs.contains(job.spec.uid())) {
        failed.jobsFailedOnlyHere.add(job.spec.uid());
        markIfFaulty(failed);
      }
    }
  }

  /**
   * Two jobs with a mistake may come to a good machine first. Where other work goes on, all that
   * runs there is given up only if they ended well elsewhere, or once more jobs have failed.
   */
  private static void markIfFaulty(MachineState machine) {
    int needed = hasOtherRunningTasks(machine) ? FAULTY_AFTER_JOBS_BESIDE_WORK : FAULTY_AFTER_JOBS;
    boolean faulty =
        machine.failedJobs.size() >= needed
            || machine.jobsFailedOnlyHere.size() >= FAULTY_AFTER_JOBS;
    if (faulty && !machine.faulty) {
      LOG.info("machine {} is faulty", machine.name);
      machine.faulty = true;
    }
  }

  private static boolean hasOtherRunningTasks(MachineState machine) {
    for (Reservation reservation : machine.reservations) {
      if (reservation.reportedState() == TaskStatus.State.RUNNING
          && !machine.failedJobs.contains(reservation.job.spec.uid())) {
        return true;
      }
    }
    return false;
  }

  private void clearFailures(JobState job) {
    for (String name : job.failureHistory.failedMachines()) {
      MachineState other = fleet.get(name);
      if (other != null) {
        other.failedJobs.remove(job.spec.uid());
        other.jobsFailedOnlyHere.remove(job.spec.uid());
      }
    }
  }

  /** Raises the token, so that no unanswered command is executed any more. */
  void raiseFencingToken(MachineState machine) {
    machine.fencingToken = Math.max(machine.fencingToken, election.firstFencingToken()) + 1;
    machine.requestCommand();
  }

  /** The machine is given this task's image, or shows that it has it. */
  void recordImageUse(MachineState machine, Reservation reservation) {
    MachineType type = fleet.typeOf(machine);
    String image = reservation.job.spec.image();
    if (type == null || image == null) {
      return;
    }
    if (!machine.cachedImagesGb.containsKey(image)) {
      long fetchMs = (long) (1000 * reservation.job.spec.imageGb() / type.imageFetchGbPerS());
      machine.imageReadyMs.put(image, context.nowMs + fetchMs);
    }
    machine.recordImageUse(image, reservation.job.spec.imageGb(), type.imageCacheGb());
  }
}
