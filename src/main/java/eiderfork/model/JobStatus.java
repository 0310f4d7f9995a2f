package eiderfork.model;

/** The status of a job, as returned to users. */
public record JobStatus(String uid, Phase phase, int doneTasks, int runningTasks) {
  /** The phase of a job, as returned to users. */
  public enum Phase {
    PENDING,
    RUNNING,
    DONE,
    ABORTED;

    /** Returns whether a job in this phase never changes again. */
    public boolean isFinal() {
      return this == DONE || this == ABORTED;
    }
  }

  /**
   * Returns the status of a job that is not cancelled, from its committed allocation and the number
   * of its running tasks.
   */
  public static JobStatus of(Job job, StoredRecord.Allocation allocation, int runningTasks) {
    if (allocation.done()) {
      return new JobStatus(job.uid(), Phase.DONE, job.tasks(), 0);
    }
    Phase phase = runningTasks > 0 ? Phase.RUNNING : Phase.PENDING;
    return new JobStatus(job.uid(), phase, allocation.finishedTaskCount(), runningTasks);
  }

  /** Returns the status of a cancelled job. */
  public static JobStatus cancelled(String uid, int doneTasks) {
    return new JobStatus(uid, Phase.ABORTED, doneTasks, 0);
  }

  /** Returns the status of an archived job. */
  public static JobStatus archived(String uid, StoredRecord.ArchivedJob job) {
    return new JobStatus(uid, job.phase(), job.doneTasks(), 0);
  }
}
