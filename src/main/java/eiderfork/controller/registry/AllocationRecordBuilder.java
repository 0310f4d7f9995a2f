package eiderfork.controller.registry;

import com.google.common.collect.ImmutableList;
import eiderfork.model.AllocationSize;
import eiderfork.model.BitmapAllocationSize;
import eiderfork.model.PackedAllocationSize;
import eiderfork.model.PlainAllocationSize;
import eiderfork.model.StoredRecord;

/** Builds a job's allocation record from memory, and the bounds on its size in each stored form. */
public final class AllocationRecordBuilder {
  private AllocationRecordBuilder() {}

  /** The allocation that memory holds now. */
  public static StoredRecord.Allocation build(JobState job) {
    JobTasks tasks = job.tasks();
    return new StoredRecord.Allocation(
        job.lastAttempt(), tasks.isAllFinished(), reservedRanges(tasks), tasks.finishedRanges());
  }

  private static ImmutableList<StoredRecord.ReservedRange> reservedRanges(JobTasks tasks) {
    ImmutableList.Builder<StoredRecord.ReservedRange> ranges = ImmutableList.builder();
    StoredRecord.ReservedRange open = null;
    for (Reservation reservation : tasks.reservations().values()) {
      if (open != null && continues(open, reservation)) {
        open =
            new StoredRecord.ReservedRange(
                open.from(), reservation.taskIndex(), open.attempt(), open.machine());
        continue;
      }
      if (open != null) {
        ranges.add(open);
      }
      open =
          new StoredRecord.ReservedRange(
              reservation.taskIndex(),
              reservation.taskIndex(),
              reservation.attempt(),
              reservation.machine().name());
    }
    if (open != null) {
      ranges.add(open);
    }
    return ranges.build();
  }

  private static boolean continues(StoredRecord.ReservedRange range, Reservation reservation) {
    return range.to() == reservation.taskIndex() - 1
        && range.attempt() == reservation.attempt()
        && range.machine().equals(reservation.machine().name());
  }

  /** The bound on the plain form, with all current reservations. */
  static PlainAllocationSize plainSize(JobState job) {
    JobTasks tasks = job.tasks();
    PlainAllocationSize size =
        new PlainAllocationSize(tasks.taskCount(), tasks.finishedRangeCount());
    addReservations(tasks, size);
    return size;
  }

  /** The bound on the packed form, with all current reservations. */
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

  /** The bound on the bitmap form, with all current reservations. */
  static BitmapAllocationSize bitmapSize(JobState job) {
    BitmapAllocationSize size = job.tasks().newBitmapSize();
    for (Reservation reservation : job.tasks().reservations().values()) {
      size.addExisting(
          reservation.taskIndex(), reservation.attempt(), reservation.machine().name());
    }
    return size;
  }
}
