package eiderfork.controller.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How a task is preempted, by how far it is from its checkpoints. */
class PreemptionPlanTest {
  private static final double SEEN_LATE_S = 1;

  /**
   * Checkpoints each 60 s, margins of 1 s and a tenth of the run. Columns: seconds run, to save,
   * that the preemptor may wait; how it is preempted, after how long, and what is lost.
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
  void theCheapestWayIsTaken(
      double ranS,
      double saveS,
      double mayWaitS,
      PreemptionMode mode,
      double delayS,
      double lostS) {
    PreemptionPlan plan =
        PreemptionPlan.cheapest(new CheckpointPolicy(60, saveS), ranS, true, mayWaitS, SEEN_LATE_S);
    assertEquals(mode, plan.mode());
    assertEquals(delayS, plan.delayS(), 0.01);
    assertEquals(lostS, plan.lostWorkS(), 0.01);
  }

  /** A new leader doesn't know when the task began, so it does not guess at a checkpoint. */
  @Test
  void withoutAKnownPhaseTheTaskSaves() {
    PreemptionPlan plan =
        PreemptionPlan.cheapest(new CheckpointPolicy(60, 20), 59, false, 30, SEEN_LATE_S);
    assertEquals(PreemptionMode.SAVE, plan.mode());
  }

  @Test
  void aTaskThatCannotSaveLosesAllThatItDid() {
    PreemptionPlan never =
        PreemptionPlan.cheapest(new CheckpointPolicy(0, 0), 45, true, 30, SEEN_LATE_S);
    assertEquals(new PreemptionPlan(PreemptionMode.AT_ONCE, 0, 45), never);
    PreemptionPlan saves =
        PreemptionPlan.cheapest(new CheckpointPolicy(60, 20), 45, true, 30, SEEN_LATE_S);
    assertTrue(saves.costS() < never.costS());
  }
}
