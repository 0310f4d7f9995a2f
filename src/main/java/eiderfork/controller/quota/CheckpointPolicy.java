package eiderfork.controller.quota;

/**
 * How a task checkpoints its progress.
 *
 * @param intervalS the run time between checkpoints that it writes by itself; 0 for never
 * @param saveS how long it takes to write a checkpoint when it is stopped
 */
public record CheckpointPolicy(double intervalS, double saveS) {
  /** Whether the task writes checkpoints at all. */
  public boolean isEnabled() {
    return intervalS > 0;
  }

  /** The work since the last checkpoint of a task that has run for {@code ranS}. */
  public double workSinceLastS(double ranS) {
    return isEnabled() ? ranS % intervalS : ranS;
  }

  /** How long until the next checkpoint. */
  public double untilNextS(double ranS) {
    return isEnabled() ? intervalS - ranS % intervalS : Double.MAX_VALUE;
  }
}
