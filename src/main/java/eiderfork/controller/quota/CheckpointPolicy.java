package eiderfork.controller.quota;

/**
 * How a task saves its progress.
 *
 * @param intervalS the progress after which it saves by itself; 0 for never
 * @param saveS how long it takes to save when it is stopped
 */
public record CheckpointPolicy(double intervalS, double saveS) {
  /** Whether the task saves at all. */
  public boolean isEnabled() {
    return intervalS > 0;
  }

  /** The work since the last checkpoint of a task that has run for so long. */
  public double workSinceLastS(double ranS) {
    return isEnabled() ? ranS % intervalS : ranS;
  }

  /** How long until the next checkpoint. */
  public double untilNextS(double ranS) {
    return isEnabled() ? intervalS - ranS % intervalS : Double.MAX_VALUE;
  }
}
