package eiderfork.model;

import com.google.common.collect.ImmutableList;

/** The value of a key in the store. */
public sealed interface StoredRecord {

  /** A job as its user submitted it; written once, never changed. */
  record JobSpec(Job job) implements StoredRecord {}

  /** The leader key: the leading node and its term. */
  record Leadership(String node, long term) implements StoredRecord {}

  /** A value that this version can't read; what it describes is left alone. */
  record Unreadable(String reason) implements StoredRecord {}

  /** The counter of terms. */
  record TermCounter(long term) implements StoredRecord {}

  /** A confirmed cancellation of a job; written once and never removed. */
  record Cancellation(String uid) implements StoredRecord {}

  /** Tasks {@code from} to {@code to}, both included, reserved on a machine as one attempt. */
  record ReservedRange(int from, int to, long attempt, String machine) {
    /** How many tasks the range holds. */
    public int taskCount() {
      return to - from + 1;
    }
  }

  /** Tasks {@code from} to {@code to}, both included. */
  record TaskRange(int from, int to) {
    /** How many tasks the range holds. */
    public int taskCount() {
      return to - from + 1;
    }
  }

  /**
   * The leader's record of a job's reserved and finished tasks.
   *
   * @param lastAttempt the largest attempt number ever reserved in this job
   */
  record Allocation(
      long lastAttempt,
      boolean done,
      ImmutableList<ReservedRange> reserved,
      ImmutableList<TaskRange> finished)
      implements StoredRecord {
    /** The allocation of a job of which nothing was ever reserved. */
    public static final Allocation EMPTY =
        new Allocation(0, false, ImmutableList.of(), ImmutableList.of());

    /** How many tasks are reserved. */
    public int reservedTaskCount() {
      return reserved.stream().mapToInt(ReservedRange::taskCount).sum();
    }

    /** How many tasks have finished. */
    public int finishedTaskCount() {
      return finished.stream().mapToInt(TaskRange::taskCount).sum();
    }
  }

  /**
   * An allocation in a packed form. Versions before the second can't read it; it is read back as
   * the allocation that it holds.
   */
  record PackedAllocation(Allocation alloc) implements StoredRecord {}

  /**
   * An allocation in the packed or the bitmap form, whichever is shorter. Versions before the
   * fourth can't read the bitmap one; both are read back as the allocation that they hold.
   */
  record BitmapAllocation(Allocation alloc) implements StoredRecord {}

  /** A scale-out request, stored before it is sent to the cloud under this request name. */
  record ScaleOutIntent(String requestName, String type, String zone, boolean spot, int count)
      implements StoredRecord {}

  /** A scale-in request, stored before it is sent to the cloud. */
  record ScaleInIntent(ImmutableList<String> machines) implements StoredRecord {}

  /** Machines whose leases a node renews in place of a leader that their workers can't reach. */
  record ProxiedLeases(ImmutableList<String> machines) implements StoredRecord {}

  /**
   * The final state of an archived job, whose other records are removed.
   *
   * @param doneTasks how many of its tasks had completed
   */
  record ArchivedJob(JobStatus.Phase phase, int doneTasks) implements StoredRecord {}

  /** The newest version that every member of the cluster runs. */
  record StoredVersion(int version) implements StoredRecord {}

  /** The machine types, for nodes that have to validate a submission without the cloud. */
  record MachineTypes(ImmutableList<MachineType> types) implements StoredRecord {}
}
