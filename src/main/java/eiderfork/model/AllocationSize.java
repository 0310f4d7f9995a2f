package eiderfork.model;

/**
 * An upper bound on the stored size of an {@link StoredRecord.Allocation} in one of its encodings.
 * The bound covers the current record and every later one, in whatever order tasks end, so that a
 * reservation is only made if all of these records fit into a value of the store.
 */
public interface AllocationSize {
  /** Adds a reservation of the task with this index. */
  void add(int index, long attempt, String machine);

  /** Returns whether the record with an additional reservation fits into a value of this size. */
  boolean fits(int index, long attempt, String machine, double valueKb);
}
