package eiderfork.controller.registry;

import eiderfork.model.JobKind;
import eiderfork.model.StoredRecord;

/** Restores the in-memory state of a job from the allocation that an earlier leader committed. */
final class AllocationRestorer {
  private final MachineRegistry fleet;

  AllocationRestorer(MachineRegistry fleet) {
    this.fleet = fleet;
  }

  /** Restores the job's state from its allocation, which the store holds under this version. */
  void restore(JobState job, StoredRecord.Allocation allocation, long version) {
    job.onAllocationRestored(allocation, version);
    allocation.finished().forEach(job.tasks()::restoreFinished);
    for (StoredRecord.ReservedRange range : allocation.reserved()) {
      restoreReservations(job, range);
    }
    if (job.spec().kind() == JobKind.ARRAY) {
      job.failureHistory().restore(allocation, job.spec().tasks());
    }
    restoreGang(job);
  }

  private void restoreReservations(JobState job, StoredRecord.ReservedRange range) {
    MachineState machine = fleet.getOrRegister(range.machine());
    for (int index = range.from(); index <= range.to(); index++) {
      Reservation reservation = new Reservation(job, index, range.attempt(), machine);
      reservation.onCommitted();
      job.tasks().reserve(reservation);
      if (job.isCancelled()) {
        machine.requestCommand();
      }
    }
  }

  /**
   * Finishes or stops a gang of which some tasks have already ended: an earlier leader may have
   * recorded that and lost its leadership before it handled the rest of the gang.
   */
  private static void restoreGang(JobState job) {
    if (job.gang() == null || job.isTerminal()) {
      return;
    }
    if (job.tasks().hasFinished()) {
      job.finishGang();
    } else if (job.tasks().hasPending()) {
      job.gang().onTaskLost();
    }
  }
}
