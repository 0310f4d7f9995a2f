package eiderfork.controller.quota;

/**
 * A way to preempt a task.
 *
 * @param delayS how long until its capacity is free
 * @param lostWorkS the work that has to be done again
 */
public record PreemptionPlan(PreemptionMode mode, double delayS, double lostWorkS) {
  /** By how much machines of one type differ in speed, and so in when checkpoints are due. */
  private static final double SPEED_SPREAD = 0.1;

  /** Preempts a task that has not begun to work. */
  public static final PreemptionPlan NO_WORK_LOST =
      new PreemptionPlan(PreemptionMode.AT_ONCE, 0, 0);

  /** The time that the capacity is of no use, as it waits or repeats lost work. */
  public double costS() {
    return delayS + lostWorkS;
  }

  /**
   * The cheapest way to preempt a running task.
   *
   * @param ranS how long it has run
   * @param isStartKnown whether that counts from its start, which a new leader has not observed
   * @param maxCheckpointWaitS how long the preemptor may wait for a checkpoint
   * @param startObservationDelayS how late the start may have been observed
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
    PreemptionPlan best = cheaper(save, atOnce(checkpoints, ranS, marginS));
    PreemptionPlan afterCheckpoint = afterCheckpoint(checkpoints, ranS, marginS);
    return afterCheckpoint.delayS <= maxCheckpointWaitS ? cheaper(best, afterCheckpoint) : best;
  }

  private static PreemptionPlan atOnce(CheckpointPolicy checkpoints, double ranS, double marginS) {
    double lostS =
        isCheckpointUncertain(checkpoints, ranS, marginS)
            ? checkpoints.intervalS()
            : checkpoints.workSinceLastS(ranS);
    return new PreemptionPlan(PreemptionMode.AT_ONCE, 0, lostS);
  }

  private static PreemptionPlan afterCheckpoint(
      CheckpointPolicy checkpoints, double ranS, double marginS) {
    double dueS =
        isCheckpointUncertain(checkpoints, ranS, marginS)
            ? -checkpoints.workSinceLastS(ranS)
            : checkpoints.untilNextS(ranS);
    return new PreemptionPlan(PreemptionMode.AFTER_CHECKPOINT, dueS + marginS, 0);
  }

  /** Whether a checkpoint was due so lately that it may not be written yet. */
  private static boolean isCheckpointUncertain(
      CheckpointPolicy checkpoints, double ranS, double marginS) {
    return ranS >= checkpoints.intervalS() && checkpoints.workSinceLastS(ranS) < marginS;
  }

  private static PreemptionPlan cheaper(PreemptionPlan first, PreemptionPlan second) {
    return second.costS() < first.costS() ? second : first;
  }
}
