package eiderfork.model;

/** One task of a job, by the job's id and the task's number from 0. */
public record TaskId(String jobUid, int index) {
  @Override
  public String toString() {
    return jobUid + "/" + index;
  }

  /** Parses the text form; null where the text names no task. */
  public static TaskId parse(String text) {
    int slash = text.lastIndexOf('/');
    if (slash <= 0) {
      return null;
    }
    try {
      int index = Integer.parseInt(text.substring(slash + 1));
      return index < 0 ? null : new TaskId(text.substring(0, slash), index);
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
