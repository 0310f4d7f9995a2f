package eiderfork.controller.quota;

/**
 * The checkpoint settings of a task.
 *
 * @param intervalS the run time between the task's periodic checkpoints; 0 if it writes none
 * @param saveS the time that the task takes to write a checkpoint when it is stopped
 */
public record CheckpointPolicy(double intervalS, double saveS) {
  /** Returns whether the task writes checkpoints. */
  public boolean isEnabled() {
    return intervalS > 0;
  }

  /** The work since the last periodic checkpoint of a task that has run for {@code ranS}. */
  public double workSinceLastS(double ranS) {
    return isEnabled() ? ranS % intervalS : ranS;
  }

  /** The time until the next periodic checkpoint of a task that has run for {@code ranS}. */
  public double untilNextS(double ranS) {
    return isEnabled() ? intervalS - ranS % intervalS : Double.MAX_VALUE;
  }
}
