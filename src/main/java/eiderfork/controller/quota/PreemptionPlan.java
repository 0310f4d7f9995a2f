package eiderfork.controller.quota;

/**
 * A way to stop a task.
 *
 * @param delayS how long until its room is free
 * @param lostS the work that has to be done again
 */
public record PreemptionPlan(PreemptionMode mode, double delayS, double lostS) {
  /** Machines of one type differ in speed by this share, and so does when checkpoints are due. */
  private static final double SPEED_SPREAD = 0.1;

  /** Stops a task that has not begun to work. */
  public static final PreemptionPlan NOTHING_LOST =
      new PreemptionPlan(PreemptionMode.AT_ONCE, 0, 0);

  /** What it costs, in seconds of GPUs that work for nobody. */
  public double costS() {
    return delayS + lostS;
  }

  /**
   * The cheapest way to stop a running task.
   *
   * @param ranS how long it has run
   * @param phaseKnown whether that counts from its start; a new leader has not seen it
   * @param mayWaitS how long the taker may wait for a checkpoint
   * @param seenLateS how late the start may have been seen
   */
  public static PreemptionPlan cheapest(
      CheckpointPolicy checkpoints,
      double ranS,
      boolean phaseKnown,
      double mayWaitS,
      double seenLateS) {
    if (!checkpoints.exist()) {
      return new PreemptionPlan(PreemptionMode.AT_ONCE, 0, ranS);
    }
    PreemptionPlan save = new PreemptionPlan(PreemptionMode.SAVE, checkpoints.saveS(), 0);
    double marginS = seenLateS + SPEED_SPREAD * ranS;
    if (!phaseKnown || 2 * marginS >= checkpoints.intervalS()) {
      return save;
    }
    double sinceS = checkpoints.sinceLastS(ranS);
    boolean maybeJustWritten = ranS >= checkpoints.intervalS() && sinceS < marginS;
    // A checkpoint that was due a moment ago may not be written yet.
    double lostS = maybeJustWritten ? checkpoints.intervalS() : sinceS;
    PreemptionPlan atOnce = new PreemptionPlan(PreemptionMode.AT_ONCE, 0, lostS);
    PreemptionPlan best = cheaper(save, atOnce);
    double dueS = maybeJustWritten ? -sinceS : checkpoints.dueInS(ranS);
    double waitS = dueS + marginS;
    if (waitS <= mayWaitS) {
      best = cheaper(best, new PreemptionPlan(PreemptionMode.AFTER_CHECKPOINT, waitS, 0));
    }
    return best;
  }

  private static PreemptionPlan cheaper(PreemptionPlan a, PreemptionPlan b) {
    return b.costS() < a.costS() ? b : a;
  }
}
