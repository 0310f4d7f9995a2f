package eiderfork.model;

/** What a user is told of a job. */
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
}
