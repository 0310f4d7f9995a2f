package eiderfork.controller.quota;

/** How a task is stopped. */
public enum PreemptionMode {
  /** At once: what was done since the last checkpoint is lost. */
  AT_ONCE,
  /** It is given the time that it needs to save. */
  SAVE,
  /** At once, right after the next checkpoint. */
  AFTER_CHECKPOINT
}
