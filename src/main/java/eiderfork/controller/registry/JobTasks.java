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
 * The tasks of a job. Each is pending, reserved or finished; a task that was settled is pending or
 * finished at once, and its settlement stays uncommitted until it is written.
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

  /** Begins with all tasks pending. */
  JobTasks(int taskCount) {
    this.taskCount = taskCount;
    pending.set(0, taskCount);
  }

  /** How many tasks the job has. */
  int taskCount() {
    return taskCount;
  }

  /** How many tasks are neither reserved nor finished. */
  int pendingCount() {
    return pending.cardinality();
  }

  /** Whether any task is neither reserved nor finished. */
  boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Whether this task is neither reserved nor finished. */
  public boolean isPending(int index) {
    return pending.get(index);
  }

  /** The first pending task from this index on, or -1. */
  int nextPending(int fromIndex) {
    return pending.nextSetBit(fromIndex);
  }

  /** Whether any task has finished. */
  boolean hasFinished() {
    return !finished.isEmpty();
  }

  /** Whether every task has finished. */
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

  /** How many ranges the finished tasks make. */
  int finishedRangeCount() {
    int count = 0;
    int from = finished.nextSetBit(0);
    while (from >= 0) {
      count++;
      from = finished.nextSetBit(finished.nextClearBit(from));
    }
    return count;
  }

  /** The bound on a record in the bitmap form that holds the finished tasks alone. */
  BitmapAllocationSize newBitmapSize() {
    return new BitmapAllocationSize(taskCount, finished);
  }

  /** The reservations by task index, in ascending order; a read-only view. */
  Int2ObjectSortedMap<Reservation> reservations() {
    return reservationsView;
  }

  /** Whether this is the task's reservation now. */
  boolean holds(Reservation reservation) {
    return reservations.get(reservation.taskIndex()) == reservation;
  }

  /** How many reserved tasks are being stopped. */
  int stoppingCount() {
    return stoppingCount;
  }

  /** Settled reservations whose settlement is not committed yet; a read-only view. */
  Collection<Reservation> uncommittedSettlements() {
    return Collections.unmodifiableSet(uncommittedSettlements);
  }

  /** Whether this attempt is settled and its settlement is not committed yet. */
  boolean isSettlementUncommitted(int index, long attempt) {
    for (Reservation reservation : uncommittedSettlements) {
      if (reservation.taskIndex() == index && reservation.attempt() == attempt) {
        return true;
      }
    }
    return false;
  }

  /** A reserved task is to be stopped. */
  void onStopRequested() {
    stoppingCount++;
  }

  /** A reserved task is not to be stopped after all. */
  void onStopRevoked() {
    stoppingCount--;
  }

  /** The tasks of a range are known to have finished. */
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

  /** Takes a proposed reservation back, so that its task is pending again. */
  void withdraw(Reservation reservation) {
    release(reservation);
    pending.set(reservation.taskIndex());
  }

  /** The task of a reservation has ended, or surely is not on its machine any more. */
  public void settle(Reservation reservation, boolean completed) {
    release(reservation);
    if (completed) {
      finished.set(reservation.taskIndex());
    } else {
      pending.set(reservation.taskIndex());
    }
    uncommittedSettlements.add(reservation);
  }

  /** All tasks have finished, whether they were reserved or not. */
  void finishAll() {
    for (Reservation reservation : List.copyOf(reservations.values())) {
      release(reservation);
      uncommittedSettlements.add(reservation);
    }
    finished.set(0, taskCount);
    pending.clear();
  }

  /** The settlements of these reservations are committed. */
  public void onSettlementsCommitted(Collection<Reservation> settled) {
    settled.forEach(uncommittedSettlements::remove);
  }

  /** No task may be reserved any more. */
  void clearPending() {
    pending.clear();
  }

  /**
   * The job is cancelled: what is committed is stopped on its machine.
   *
   * @param writeInFlight whether what is not committed may be, by a write that is under way
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

  /** Releases the reservations that are not committed; their tasks are not pending again. */
  void releaseUncommitted() {
    for (Reservation reservation : List.copyOf(reservations.values())) {
      if (!reservation.isCommitted()) {
        release(reservation);
      }
    }
  }

  /** Releases all reservations; their tasks are not pending again. */
  void releaseAll() {
    List.copyOf(reservations.values()).forEach(this::release);
  }

  /** Takes a reservation off the job and its machine; its task is in no state until it is set. */
  void release(Reservation reservation) {
    if (reservations.remove(reservation.taskIndex()) == reservation && reservation.isStopping()) {
      stoppingCount--;
    }
    reservation.machine().removeReservation(reservation);
  }
}
