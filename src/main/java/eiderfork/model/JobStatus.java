package eiderfork.model;

/** The status of a job as users see it. */
public record JobStatus(String uid, Phase phase, int doneTasks, int runningTasks) {
  /** The state of a job as users see it. */
  public enum Phase {
    PENDING,
    RUNNING,
    DONE,
    ABORTED;

    /** Whether a job in this state never changes again. */
    public boolean isFinal() {
      return this == DONE || this == ABORTED;
    }
  }

  /** The status of a job that was not cancelled, by its committed record and what runs of it. */
  public static JobStatus of(Job job, StoredRecord.Allocation allocation, int runningTasks) {
    if (allocation.done()) {
      return new JobStatus(job.uid(), Phase.DONE, job.tasks(), 0);
    }
    Phase phase = runningTasks > 0 ? Phase.RUNNING : Phase.PENDING;
    return new JobStatus(job.uid(), phase, allocation.finishedTaskCount(), runningTasks);
  }

  /** The status of a cancelled job. */
  public static JobStatus cancelled(String uid, int doneTasks) {
    return new JobStatus(uid, Phase.ABORTED, doneTasks, 0);
  }

  /** The status of an archived job. */
  public static JobStatus archived(String uid, StoredRecord.ArchivedJob job) {
    return new JobStatus(uid, job.phase(), job.doneTasks(), 0);
  }
}
