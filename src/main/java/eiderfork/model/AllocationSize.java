package eiderfork.model;

/**
 * An upper bound of what one form of an {@link StoredRecord.Alloc} takes, now and however its tasks
 * end, so that a reservation is only made where every later record fits into a value.
 */
public interface AllocationSize {
  /** Counts one more reservation, of the task with this index. */
  void add(int index, long attempt, String machine);

  /** Whether one more reservation leaves the record within a value of this size. */
  boolean fits(int index, long attempt, String machine, double valueKb);
}
