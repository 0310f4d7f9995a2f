package eiderfork.controller.quota;

/**
 * A mode of preempting a task, with its costs.
 *
 * @param delayS the time until the task's capacity is free
 * @param lostWorkS the run time of the work that has to be repeated
 */
public record PreemptionPlan(PreemptionMode mode, double delayS, double lostWorkS) {
  /**
   * The relative speed difference of machines of one type, which shifts when checkpoints are due.
   */
  private static final double SPEED_SPREAD = 0.1;

  /** The plan for a task that has not started to work. */
  public static final PreemptionPlan NO_WORK_LOST =
      new PreemptionPlan(PreemptionMode.AT_ONCE, 0, 0);

  /** The time for which the capacity is wasted, by waiting for it or repeating lost work. */
  public double costS() {
    return delayS + lostWorkS;
  }

  /**
   * Returns the cheapest plan to preempt a running task.
   *
   * @param ranS the time for which the task has run
   * @param isStartKnown whether {@code ranS} counts from the task's start, which a new leader has
   *     not observed
   * @param maxCheckpointWaitS the longest time that the preemptor may wait for a checkpoint
   * @param startObservationDelayS the longest delay with which the start may have been observed
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

  /** Returns whether a checkpoint was due so recently that it may not be written yet. */
  private static boolean isCheckpointUncertain(
      CheckpointPolicy checkpoints, double ranS, double marginS) {
    return ranS >= checkpoints.intervalS() && checkpoints.workSinceLastS(ranS) < marginS;
  }

  private static PreemptionPlan cheaper(PreemptionPlan first, PreemptionPlan second) {
    return second.costS() < first.costS() ? second : first;
  }
}
