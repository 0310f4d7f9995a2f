package eiderfork.controller.registry;

import com.google.common.collect.ImmutableList;
import eiderfork.model.BitmapAllocationSize;
import eiderfork.model.StoredRecord;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMaps;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The tasks of a job. Each is pending, reserved or finished. A settled task becomes pending or
 * finished immediately; its settlement stays uncommitted until it is written to the store.
 */
public final class JobTasks {
  private final int taskCount;
  private final BitSet pending = new BitSet();
  private final BitSet finished = new BitSet();
  private final Int2ObjectSortedMap<Reservation> reservations = new Int2ObjectAVLTreeMap<>();
  private final Int2ObjectSortedMap<Reservation> reservationsView =
      Int2ObjectSortedMaps.unmodifiable(reservations);
  private final Set<Reservation> uncommittedSettlements = new LinkedHashSet<>();
  private int stoppingCount;

  /** Creates the tasks of a job, all pending. */
  JobTasks(int taskCount) {
    this.taskCount = taskCount;
    pending.set(0, taskCount);
  }

  /** The number of tasks of the job. */
  int taskCount() {
    return taskCount;
  }

  /** The number of tasks that are neither reserved nor finished. */
  int pendingCount() {
    return pending.cardinality();
  }

  /** Returns whether any task is neither reserved nor finished. */
  boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Returns whether this task is neither reserved nor finished. */
  public boolean isPending(int index) {
    return pending.get(index);
  }

  /** The index of the first pending task at or after {@code fromIndex}, or -1. */
  int nextPending(int fromIndex) {
    return pending.nextSetBit(fromIndex);
  }

  /** Returns whether any task has finished. */
  boolean hasFinished() {
    return !finished.isEmpty();
  }

  /** Returns whether all tasks have finished. */
  public boolean isAllFinished() {
    return finished.cardinality() == taskCount;
  }

  /** The finished tasks, as ranges in ascending order. */
  ImmutableList<StoredRecord.TaskRange> finishedRanges() {
    ImmutableList.Builder<StoredRecord.TaskRange> ranges = ImmutableList.builder();
    int from = finished.nextSetBit(0);
    while (from >= 0) {
      int end = finished.nextClearBit(from);
      ranges.add(new StoredRecord.TaskRange(from, end - 1));
      from = finished.nextSetBit(end);
    }
    return ranges.build();
  }

  /** The number of contiguous ranges of finished tasks. */
  int finishedRangeCount() {
    int count = 0;
    int from = finished.nextSetBit(0);
    while (from >= 0) {
      count++;
      from = finished.nextSetBit(finished.nextClearBit(from));
    }
    return count;
  }

  /**
   * Returns the upper bound on the size of a record in the bitmap form that holds only the finished
   * tasks.
   */
  BitmapAllocationSize newBitmapSize() {
    return new BitmapAllocationSize(taskCount, finished);
  }

  /** The reservations by task index, in ascending order; a read-only view. */
  Int2ObjectSortedMap<Reservation> reservations() {
    return reservationsView;
  }

  /** Returns whether this is the current reservation of its task. */
  boolean holds(Reservation reservation) {
    return reservations.get(reservation.taskIndex()) == reservation;
  }

  /** The number of reserved tasks that are being stopped. */
  int stoppingCount() {
    return stoppingCount;
  }

  /** The reservations whose settlement is not committed yet; a read-only view. */
  Collection<Reservation> uncommittedSettlements() {
    return Collections.unmodifiableSet(uncommittedSettlements);
  }

  /** Returns whether this attempt is settled and its settlement is not committed yet. */
  boolean isSettlementUncommitted(int index, long attempt) {
    for (Reservation reservation : uncommittedSettlements) {
      if (reservation.taskIndex() == index && reservation.attempt() == attempt) {
        return true;
      }
    }
    return false;
  }

  /** Records that a reserved task is to be stopped. */
  void onStopRequested() {
    stoppingCount++;
  }

  /** Records that the stop of a reserved task was revoked. */
  void onStopRevoked() {
    stoppingCount--;
  }

  /** Restores a range of finished tasks from the job's allocation. */
  void restoreFinished(StoredRecord.TaskRange range) {
    finished.set(range.from(), range.to() + 1);
    pending.clear(range.from(), range.to() + 1);
  }

  /** Reserves a task on the reservation's machine. */
  public void reserve(Reservation reservation) {
    reservations.put(reservation.taskIndex(), reservation);
    pending.clear(reservation.taskIndex());
    reservation.machine().addReservation(reservation);
  }

  /** Withdraws a proposed reservation and returns its task to pending. */
  void withdraw(Reservation reservation) {
    release(reservation);
    pending.set(reservation.taskIndex());
  }

  /** Settles a reservation whose task has ended or is certainly no longer on its machine. */
  public void settle(Reservation reservation, boolean completed) {
    release(reservation);
    if (completed) {
      finished.set(reservation.taskIndex());
    } else {
      pending.set(reservation.taskIndex());
    }
    uncommittedSettlements.add(reservation);
  }

  /** Marks all tasks as finished, whether they were reserved or not. */
  void finishAll() {
    for (Reservation reservation : List.copyOf(reservations.values())) {
      release(reservation);
      uncommittedSettlements.add(reservation);
    }
    finished.set(0, taskCount);
    pending.clear();
  }

  /** Records that the settlements of these reservations are committed. */
  public void onSettlementsCommitted(Collection<Reservation> settled) {
    settled.forEach(uncommittedSettlements::remove);
  }

  /** Clears the pending tasks, so that none can be reserved any more. */
  void clearPending() {
    pending.clear();
  }

  /**
   * Cancels the tasks: committed reservations are stopped on their machines.
   *
   * @param writeInFlight whether a write is in flight that may commit the proposed reservations
   */
  void cancel(boolean writeInFlight) {
    pending.clear();
    uncommittedSettlements.clear();
    for (Reservation reservation : List.copyOf(reservations.values())) {
      if (reservation.isCommitted()) {
        reservation.machine().requestCommand();
      } else if (!writeInFlight) {
        release(reservation);
      }
    }
  }

  /** Releases the reservations that are not committed; their tasks don't return to pending. */
  void releaseUncommitted() {
    for (Reservation reservation : List.copyOf(reservations.values())) {
      if (!reservation.isCommitted()) {
        release(reservation);
      }
    }
  }

  /** Releases all reservations; their tasks don't return to pending. */
  void releaseAll() {
    List.copyOf(reservations.values()).forEach(this::release);
  }

  /**
   * Removes a reservation from the job and its machine. The caller sets the task's next state if it
   * has one.
   */
  void release(Reservation reservation) {
    if (reservations.remove(reservation.taskIndex()) == reservation && reservation.isStopping()) {
      stoppingCount--;
    }
    reservation.machine().removeReservation(reservation);
  }
}
