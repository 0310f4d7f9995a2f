package eiderfork.model;

import com.google.common.collect.ImmutableList;

/** A value in the key-value store. */
public sealed interface StoredRecord {

  /** A job as its user submitted it; written once and never changed. */
  record JobSpec(Job job) implements StoredRecord {}

  /** The leading node and its term. */
  record Leadership(String node, long term) implements StoredRecord {}

  /** A value that this version cannot read; the object that it describes must not be modified. */
  record Unreadable(String reason) implements StoredRecord {}

  /** The number of the latest term. */
  record TermCounter(long term) implements StoredRecord {}

  /** A confirmed cancellation of a job; written once and never removed. */
  record Cancellation(String uid) implements StoredRecord {}

  /**
   * The tasks {@code from} to {@code to} (inclusive), reserved on a machine with the same attempt
   * number.
   */
  record ReservedRange(int from, int to, long attempt, String machine) {
    /** Returns the number of tasks in the range. */
    public int taskCount() {
      return to - from + 1;
    }
  }

  /** The tasks {@code from} to {@code to} (inclusive). */
  record TaskRange(int from, int to) {
    /** Returns the number of tasks in the range. */
    public int taskCount() {
      return to - from + 1;
    }
  }

  /**
   * The leader's record of a job's reserved and finished tasks.
   *
   * @param lastAttempt the largest attempt number ever reserved in the job
   * @param done whether the job has completed
   */
  record Allocation(
      long lastAttempt,
      boolean done,
      ImmutableList<ReservedRange> reserved,
      ImmutableList<TaskRange> finished)
      implements StoredRecord {
    /** The allocation of a job without any reservation so far. */
    public static final Allocation EMPTY =
        new Allocation(0, false, ImmutableList.of(), ImmutableList.of());

    /** Returns the number of reserved tasks. */
    public int reservedTaskCount() {
      return reserved.stream().mapToInt(ReservedRange::taskCount).sum();
    }

    /** Returns the number of finished tasks. */
    public int finishedTaskCount() {
      return finished.stream().mapToInt(TaskRange::taskCount).sum();
    }
  }

  /**
   * An allocation to be written in the packed encoding, which only version 2 and later can read. It
   * is read back as an {@link Allocation}.
   */
  record PackedAllocation(Allocation alloc) implements StoredRecord {}

  /**
   * An allocation to be written in the packed or the bitmap encoding, whichever is shorter. Only
   * version 4 and later can read the bitmap encoding. Both are read back as an {@link Allocation}.
   */
  record BitmapAllocation(Allocation alloc) implements StoredRecord {}

  /** A scale-out request, stored before it is sent to the cloud with this request name. */
  record ScaleOutIntent(String requestName, String type, String zone, boolean spot, int count)
      implements StoredRecord {}

  /** A scale-in request, stored before it is sent to the cloud. */
  record ScaleInIntent(ImmutableList<String> machines) implements StoredRecord {}

  /** The machines whose leases a node renews because their workers cannot reach the leader. */
  record ProxiedLeases(ImmutableList<String> machines) implements StoredRecord {}

  /**
   * The final state of an archived job, whose other records have been removed.
   *
   * @param doneTasks the number of tasks that had completed
   */
  record ArchivedJob(JobStatus.Phase phase, int doneTasks) implements StoredRecord {}

  /** The newest version that every member of the cluster runs. */
  record StoredVersion(int version) implements StoredRecord {}

  /** The machine types, stored for nodes that validate submissions without access to the cloud. */
  record MachineTypes(ImmutableList<MachineType> types) implements StoredRecord {}
}
