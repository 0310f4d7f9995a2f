package eiderfork.model;

/** The id of a task: the job's id and the zero-based index of the task. */
public record TaskId(String jobUid, int index) {
  @Override
  public String toString() {
    return jobUid + "/" + index;
  }

  /** Parses the text form of an id; returns null if it is not a valid task id. */
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
