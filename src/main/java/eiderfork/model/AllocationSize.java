package eiderfork.model;

/**
 * An upper bound on the size of an {@link StoredRecord.Allocation} in one stored form, now and
 * however its tasks end, so that a reservation is only made where every later record fits into a
 * value.
 */
public interface AllocationSize {
  /** Counts one more reservation, of the task with this index. */
  void add(int index, long attempt, String machine);

  /** Whether the record with one more reservation fits into a value of this size. */
  boolean fits(int index, long attempt, String machine, double valueKb);
}
