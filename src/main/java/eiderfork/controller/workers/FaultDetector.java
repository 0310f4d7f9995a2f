package eiderfork.controller.workers;

import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineFailures;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides from the ends of tasks whether a machine is faulty or a job fails everywhere. */
final class FaultDetector {
  private static final Logger LOG = LoggerFactory.getLogger(FaultDetector.class);

  /** Jobs that must fail on a machine, and on no other, before it counts as faulty. */
  private static final int FAULTY_AFTER_JOBS = 2;

  /** The same where tasks of other jobs run on the machine. */
  private static final int FAULTY_AFTER_JOBS_BESIDE_WORK = 4;

  private final MachineRegistry fleet;

  FaultDetector(MachineRegistry fleet) {
    this.fleet = fleet;
  }

  /** A task of the job failed on the machine: counts it against the machine or the job. */
  void recordFailure(MachineState machine, JobState job) {
    if (job.failureHistory().isJobAtFault()) {
      discardFailures(job);
      return;
    }
    machine.failures().recordFailure(job.spec().uid());
    markIfFaulty(machine);
  }

  /** A task of the job succeeded on the machine: machines where the job failed are suspects. */
  void recordSuccess(MachineState machine, JobState job) {
    machine.failures().recordSuccess();
    if (job.failureHistory().isJobAtFault() || job.failureHistory().isSuspected()) {
      return;
    }
    for (String name : job.failureHistory().failedMachines()) {
      MachineState failed = fleet.get(name);
      if (failed != null && failed != machine && failed.failures().hasFailed(job.spec().uid())) {
        failed.failures().recordSuccessElsewhere(job.spec().uid());
        markIfFaulty(failed);
      }
    }
  }

  /**
   * Two jobs with a mistake may come to a good machine first. Where tasks of other jobs run, the
   * machine is given up only once two failed jobs succeeded elsewhere, or more jobs have failed.
   */
  private static void markIfFaulty(MachineState machine) {
    MachineFailures failures = machine.failures();
    int needed = hasOtherRunningTasks(machine) ? FAULTY_AFTER_JOBS_BESIDE_WORK : FAULTY_AFTER_JOBS;
    boolean faulty =
        failures.failedJobCount() >= needed || failures.failedOnlyHereCount() >= FAULTY_AFTER_JOBS;
    if (faulty && !failures.isFaulty()) {
      LOG.warn("machine-faulty machine={}", machine.name());
      failures.markFaulty();
    }
  }

  private static boolean hasOtherRunningTasks(MachineState machine) {
    for (Reservation reservation : machine.reservations()) {
      if (reservation.reportedState() == TaskStatus.State.RUNNING
          && !machine.failures().hasFailed(reservation.job().spec().uid())) {
        return true;
      }
    }
    return false;
  }

  /** The job fails everywhere, so that none of the machines where it failed is to blame. */
  private void discardFailures(JobState job) {
    for (String name : job.failureHistory().failedMachines()) {
      MachineState machine = fleet.get(name);
      if (machine != null) {
        machine.failures().discardFailure(job.spec().uid());
      }
    }
  }
}
