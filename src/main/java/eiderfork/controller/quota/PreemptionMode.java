package eiderfork.controller.quota;

/** How a task is preempted. */
public enum PreemptionMode {
  /** At once: its work since the last checkpoint is lost. */
  AT_ONCE,
  /** It gets the time that it needs to save. */
  SAVE,
  /** At once, right after the next checkpoint. */
  AFTER_CHECKPOINT
}
