package eiderfork.model;

import com.google.common.collect.ImmutableList;

/** What the state service holds under a key. */
public sealed interface StoredRecord {

  /** A job as its user submitted it; written once. */
  record JobSpec(Job job) implements StoredRecord {}

  /** The leader key: who leads, and in which term. */
  record Leadership(String node, long term) implements StoredRecord {}

  /** A value that this version can't read; what it stands for is left as it is. */
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
   * The leader's own record of a job.
   *
   * @param lastAttempt the largest attempt number ever reserved in this job
   */
  record Allocation(
      long lastAttempt,
      boolean done,
      ImmutableList<ReservedRange> reserved,
      ImmutableList<TaskRange> finished)
      implements StoredRecord {
    /** The record of a job that nothing was ever reserved for. */
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
   * The same record in a form that takes a fraction of the space. Versions before the second can't
   * read it; it is read back as the record that it holds.
   */
  record PackedAllocation(Allocation alloc) implements StoredRecord {}

  /**
   * The same record in the packed or the bitmap form, whichever is shorter. Versions before the
   * fourth can't read the bitmap one; both are read back as the record that they hold.
   */
  record BitmapAllocation(Allocation alloc) implements StoredRecord {}

  /** A rent reserved before the cloud is asked, under the name that the request carries. */
  record ScaleOutIntent(String requestName, String type, String zone, boolean spot, int count)
      implements StoredRecord {}

  /** A return reserved before the cloud is asked. */
  record ScaleInIntent(ImmutableList<String> machines) implements StoredRecord {}

  /** Machines whose workers a node answers in the place of a leader that they can't reach. */
  record ProxiedLeases(ImmutableList<String> machines) implements StoredRecord {}

  /**
   * The final state of a job that was archived: its other records are gone.
   *
   * @param doneTasks how many of its tasks had completed
   */
  record ArchivedJob(JobStatus.Phase phase, int doneTasks) implements StoredRecord {}

  /** The newest version that every member of the cluster runs. */
  record StoredVersion(int version) implements StoredRecord {}

  /** The machine types, kept for nodes that must judge a submission without the cloud. */
  record MachineTypes(ImmutableList<MachineType> types) implements StoredRecord {}
}
