package eiderfork.controller.quota;

/** The ways of stopping a preempted task. */
public enum PreemptionMode {
  /** Stops the task immediately; its work since the last checkpoint is lost. */
  AT_ONCE,
  /** Gives the task the time that it needs to save. */
  SAVE,
  /** Stops the task immediately after its next periodic checkpoint. */
  AFTER_CHECKPOINT
}
