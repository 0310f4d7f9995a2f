package eiderfork.controller.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the choice of the preemption mode by a task's progress between its checkpoints. */
class PreemptionPlanTest {
  private static final double START_OBSERVATION_DELAY_S = 1;

  /**
   * Checkpoints are written every 60 s; the margin is 1 s plus a tenth of the run time. Columns, in
   * seconds: run time, save duration, longest wait of the preemptor; then the expected mode, delay
   * and lost work.
   */
  @ParameterizedTest
  @CsvSource({
    "10, 20, 30, AT_ONCE, 0, 10",
    "40, 20, 30, SAVE, 20, 0",
    "50, 20, 30, AFTER_CHECKPOINT, 16, 0",
    "50, 20, 15, SAVE, 20, 0",
    "50, 10, 30, SAVE, 10, 0",
    "59, 20, 30, AFTER_CHECKPOINT, 7.9, 0",
    "60, 20, 30, AFTER_CHECKPOINT, 7, 0",
    "61, 20, 30, AFTER_CHECKPOINT, 6.1, 0",
    "66, 20, 30, AFTER_CHECKPOINT, 1.6, 0",
    "70, 20, 30, AT_ONCE, 0, 10",
    "70, 8, 30, SAVE, 8, 0",
    "300, 20, 90, SAVE, 20, 0"
  })
  void choosesTheCheapestPlan(
      double ranS,
      double saveS,
      double maxWaitS,
      PreemptionMode mode,
      double delayS,
      double lostS) {
    PreemptionPlan plan =
        PreemptionPlan.cheapest(
            new CheckpointPolicy(60, saveS), ranS, true, maxWaitS, START_OBSERVATION_DELAY_S);
    assertEquals(mode, plan.mode());
    assertEquals(delayS, plan.delayS(), 0.01);
    assertEquals(lostS, plan.lostWorkS(), 0.01);
  }

  /** A new leader doesn't know the task's start and so can't tell when checkpoints are due. */
  @Test
  void savesIfTheStartIsUnknown() {
    PreemptionPlan plan =
        PreemptionPlan.cheapest(
            new CheckpointPolicy(60, 20), 59, false, 30, START_OBSERVATION_DELAY_S);
    assertEquals(PreemptionMode.SAVE, plan.mode());
  }

  @Test
  void aTaskWithoutCheckpointsLosesAllItsWork() {
    PreemptionPlan withoutCheckpoints =
        PreemptionPlan.cheapest(
            new CheckpointPolicy(0, 0), 45, true, 30, START_OBSERVATION_DELAY_S);
    assertEquals(new PreemptionPlan(PreemptionMode.AT_ONCE, 0, 45), withoutCheckpoints);
    PreemptionPlan withCheckpoints =
        PreemptionPlan.cheapest(
            new CheckpointPolicy(60, 20), 45, true, 30, START_OBSERVATION_DELAY_S);
    assertTrue(withCheckpoints.costS() < withoutCheckpoints.costS());
  }
}
