package eiderfork.controller.registry;

import com.google.common.collect.ImmutableList;
import eiderfork.model.AllocationSize;
import eiderfork.model.BitmapAllocationSize;
import eiderfork.model.PackedAllocationSize;
import eiderfork.model.PlainAllocationSize;
import eiderfork.model.StoredRecord;

/**
 * Builds a job's allocation record from its in-memory state, and the upper bounds on the size of
 * the record in each stored form.
 */
public final class AllocationRecordBuilder {
  private AllocationRecordBuilder() {}

  /** Builds the allocation record of the current in-memory state. */
  public static StoredRecord.Allocation build(JobState job) {
    JobTasks tasks = job.tasks();
    return new StoredRecord.Allocation(
        job.lastAttempt(), tasks.isAllFinished(), reservedRanges(tasks), tasks.finishedRanges());
  }

  private static ImmutableList<StoredRecord.ReservedRange> reservedRanges(JobTasks tasks) {
    ImmutableList.Builder<StoredRecord.ReservedRange> ranges = ImmutableList.builder();
    StoredRecord.ReservedRange current = null;
    for (Reservation reservation : tasks.reservations().values()) {
      if (current != null && isContinuation(current, reservation)) {
        current =
            new StoredRecord.ReservedRange(
                current.from(), reservation.taskIndex(), current.attempt(), current.machine());
        continue;
      }
      if (current != null) {
        ranges.add(current);
      }
      current =
          new StoredRecord.ReservedRange(
              reservation.taskIndex(),
              reservation.taskIndex(),
              reservation.attempt(),
              reservation.machine().name());
    }
    if (current != null) {
      ranges.add(current);
    }
    return ranges.build();
  }

  private static boolean isContinuation(StoredRecord.ReservedRange range, Reservation reservation) {
    return range.to() == reservation.taskIndex() - 1
        && range.attempt() == reservation.attempt()
        && range.machine().equals(reservation.machine().name());
  }

  /** The upper bound on the size of the plain form, with all current reservations. */
  static PlainAllocationSize plainSize(JobState job) {
    JobTasks tasks = job.tasks();
    PlainAllocationSize size =
        new PlainAllocationSize(tasks.taskCount(), tasks.finishedRangeCount());
    addReservations(tasks, size);
    return size;
  }

  /** The upper bound on the size of the packed form, with all current reservations. */
  static PackedAllocationSize packedSize(JobState job) {
    JobTasks tasks = job.tasks();
    PackedAllocationSize size =
        new PackedAllocationSize(tasks.taskCount(), tasks.finishedRangeCount());
    addReservations(tasks, size);
    return size;
  }

  private static void addReservations(JobTasks tasks, AllocationSize size) {
    for (Reservation reservation : tasks.reservations().values()) {
      size.add(reservation.taskIndex(), reservation.attempt(), reservation.machine().name());
    }
  }

  /** The upper bound on the size of the bitmap form, with all current reservations. */
  static BitmapAllocationSize bitmapSize(JobState job) {
    BitmapAllocationSize size = job.tasks().newBitmapSize();
    for (Reservation reservation : job.tasks().reservations().values()) {
      size.addExisting(
          reservation.taskIndex(), reservation.attempt(), reservation.machine().name());
    }
    return size;
  }
}
