package eiderfork.controller.workers;

import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineFailures;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides from the outcomes of tasks whether a machine is faulty or whether a job fails on every
 * machine.
 */
final class FaultDetector {
  private static final Logger LOG = LoggerFactory.getLogger(FaultDetector.class);

  /**
   * The number of jobs that must fail on a machine before it counts as faulty. Jobs that are found
   * to be at fault themselves are not counted.
   */
  private static final int MIN_FAILED_JOBS = 2;

  /** The number of failed jobs that makes a machine faulty while tasks of other jobs run on it. */
  private static final int MIN_FAILED_JOBS_WITH_OTHER_TASKS = 4;

  private final MachineRegistry fleet;

  FaultDetector(MachineRegistry fleet) {
    this.fleet = fleet;
  }

  /**
   * Records that a task of the job failed on the machine, and attributes the failure to the machine
   * or to the job.
   */
  void recordFailure(MachineState machine, JobState job) {
    if (job.failureHistory().isJobAtFault()) {
      discardFailures(job);
      return;
    }
    machine.failures().recordFailure(job.spec().uid());
    markIfFaulty(machine);
  }

  /**
   * Records that a task of the job succeeded on the machine. The machines on which the job failed
   * earlier become suspects, unless the job itself is suspected.
   */
  void recordSuccess(MachineState machine, JobState job) {
    machine.failures().recordSuccess();
    if (job.failureHistory().isJobAtFault() || job.failureHistory().isSuspected()) {
      return;
    }
    for (String name : job.failureHistory().failedMachines()) {
      MachineState failedMachine = fleet.get(name);
      if (failedMachine != null
          && failedMachine != machine
          && failedMachine.failures().hasFailed(job.spec().uid())) {
        failedMachine.failures().recordSuccessElsewhere(job.spec().uid());
        markIfFaulty(failedMachine);
      }
    }
  }

  /**
   * Marks the machine as faulty if enough jobs have failed on it. Two jobs that are themselves
   * broken may happen to start on a healthy machine first. A machine on which tasks of other jobs
   * run is therefore marked only once two of the failed jobs have succeeded elsewhere, or once more
   * jobs have failed.
   */
  private static void markIfFaulty(MachineState machine) {
    MachineFailures failures = machine.failures();
    int requiredJobs =
        hasOtherRunningTasks(machine) ? MIN_FAILED_JOBS_WITH_OTHER_TASKS : MIN_FAILED_JOBS;
    boolean faulty =
        failures.failedJobCount() >= requiredJobs
            || failures.failedOnlyHereCount() >= MIN_FAILED_JOBS;
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

  /**
   * Discards the job's failures on all machines: the job fails everywhere, so none of these
   * machines is at fault.
   */
  private void discardFailures(JobState job) {
    for (String name : job.failureHistory().failedMachines()) {
      MachineState machine = fleet.get(name);
      if (machine != null) {
        machine.failures().discardFailure(job.spec().uid());
      }
    }
  }
}
