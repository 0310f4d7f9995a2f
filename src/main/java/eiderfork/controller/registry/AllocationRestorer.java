package eiderfork.controller.registry;

import eiderfork.model.JobKind;
import eiderfork.model.StoredRecord;

/** Brings a job in memory up to the allocation that an earlier leader has committed. */
final class AllocationRestorer {
  private final MachineRegistry fleet;

  AllocationRestorer(MachineRegistry fleet) {
    this.fleet = fleet;
  }

  /** Restores the allocation, which the store holds under this version. */
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

  /** An older leader may have seen a part of a gang end, and ended before it acted on it. */
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
