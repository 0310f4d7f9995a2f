package eiderfork.controller.quota;

/**
 * A way to stop a task.
 *
 * @param delayS how long until its room is free
 * @param lostWorkS the work that has to be done again
 */
public record PreemptionPlan(PreemptionMode mode, double delayS, double lostWorkS) {
  /** Machines of one type differ in speed by this share, and so does when checkpoints are due. */
  private static final double SPEED_SPREAD = 0.1;

  /** Stops a task that has not begun to work. */
  public static final PreemptionPlan NO_WORK_LOST =
      new PreemptionPlan(PreemptionMode.AT_ONCE, 0, 0);

  /** What it costs, in seconds of GPUs that work for nobody. */
  public double costS() {
    return delayS + lostWorkS;
  }

  /**
   * The cheapest way to stop a running task.
   *
   * @param ranS how long it has run
   * @param isStartKnown whether that counts from its start; a new leader has not seen it
   * @param maxCheckpointWaitS how long the taker may wait for a checkpoint
   * @param startObservationDelayS how late the start may have been seen
   */
  public static PreemptionPlan cheapest(
      CheckpointPolicy checkpoints,
      double ranS,
      boolean isStartKnown,
      double maxCheckpointWaitS,
      double startObservationDelayS) {
    if (!checkpoints.isEnabled()) {
      return new PreemptionPlan(PreemptionMode.AT_ONCE, 0, ranS);
    }
    PreemptionPlan save = new PreemptionPlan(PreemptionMode.SAVE, checkpoints.saveS(), 0);
    double marginS = startObservationDelayS + SPEED_SPREAD * ranS;
    if (!isStartKnown || 2 * marginS >= checkpoints.intervalS()) {
      return save;
    }
    double sinceS = checkpoints.workSinceLastS(ranS);
    boolean maybeJustWritten = ranS >= checkpoints.intervalS() && sinceS < marginS;
    // A checkpoint that was due a moment ago may not be written yet.
    double lostS = maybeJustWritten ? checkpoints.intervalS() : sinceS;
    PreemptionPlan atOnce = new PreemptionPlan(PreemptionMode.AT_ONCE, 0, lostS);
    PreemptionPlan best = cheaper(save, atOnce);
    double dueS = maybeJustWritten ? -sinceS : checkpoints.untilNextS(ranS);
    double waitS = dueS + marginS;
    if (waitS <= maxCheckpointWaitS) {
      best = cheaper(best, new PreemptionPlan(PreemptionMode.AFTER_CHECKPOINT, waitS, 0));
    }
    return best;
  }

  private static PreemptionPlan cheaper(PreemptionPlan a, PreemptionPlan b) {
    return b.costS() < a.costS() ? b : a;
  }
}
