package eiderfork.controller.quota;

/**
 * How a task saves its progress.
 *
 * @param intervalS the progress after which it saves by itself; 0 for never
 * @param saveS how long it takes to save when it is stopped
 */
public record CheckpointPolicy(double intervalS, double saveS) {
  /** Whether the task saves at all. */
  public boolean exist() {
    return intervalS > 0;
  }

  /** The work since the last checkpoint of a task that has run for so long. */
  public double sinceLastS(double ranS) {
    return exist() ? ranS % intervalS : ranS;
  }

  /** How long until the next checkpoint. */
  public double dueInS(double ranS) {
    return exist() ? intervalS - ranS % intervalS : Double.MAX_VALUE;
  }
}
