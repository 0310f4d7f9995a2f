package eiderfork.controller.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.TestFixtures;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import eiderfork.model.StoredRecord;
import org.junit.jupiter.api.Test;

/** Tests how failures of a job's tasks are counted and delay its retries. */
class FailureHistoryTest {
  private static final long STEP_MS = 1000;
  private static final int TASKS = 8;

  private final FailureHistory history = new FailureHistory(STEP_MS);
  private final Job spec =
      TestFixtures.withTaskShape(
          TestFixtures.job(1, JobKind.ARRAY, TASKS, 1), new Resources(1, 1, 4), 300, "g4");
  private final JobState job = TestFixtures.jobState(spec);

  private Reservation reservation(int index, long attempt, String machine) {
    MachineState machineState = new MachineState(machine, 1, new MachineIndexes(), 0);
    return new Reservation(job, index, attempt, machineState);
  }

  private void recordFailure(int index, long attempt, String machine, long nowMs) {
    history.recordFailure(reservation(index, attempt, machine), attempt, nowMs);
  }

  private static StoredRecord.Allocation emptyAllocation(long lastAttempt) {
    return new StoredRecord.Allocation(lastAttempt, false, ImmutableList.of(), ImmutableList.of());
  }

  @Test
  void tasksOfOneTryCountOnce() {
    for (int index = 0; index < TASKS; index++) {
      recordFailure(index, 1, "n-1", 10);
    }
    assertFalse(history.isSuspected());
    assertEquals(0, history.notBeforeMs(), "the job may run on other machines");
    assertFalse(history.canRetry(0, 500));
    assertTrue(history.canRetry(0, 10 + STEP_MS));
  }

  @Test
  void failuresOnTwoMachinesMakeASuspectWithABoundedBackoff() {
    long delayMs = 0;
    for (int attempt = 1; attempt <= 12; attempt++) {
      long nowMs = attempt * 100_000L;
      recordFailure(0, attempt, "n-" + attempt % 4, nowMs);
      assertEquals(attempt >= 2, history.isConfirmedSuspect());
      long nextMs = Math.max(0, history.notBeforeMs() - nowMs);
      assertTrue(nextMs >= delayMs && nextMs <= 32 * STEP_MS, nextMs + " ms");
      delayMs = nextMs;
    }
    assertEquals(32 * STEP_MS, delayMs);
    history.recordSuccess();
    assertFalse(history.isSuspected());
    assertEquals(0, history.notBeforeMs());
  }

  /** To a new leader, an array that was preempted repeatedly looks the same as one that fails. */
  @Test
  void restoredSuspicionEndsAfterAShortRun() {
    history.restore(emptyAllocation(30), TASKS);
    assertTrue(history.isSuspected());
    assertFalse(history.isConfirmedSuspect(), "machines are still added for it");
    Reservation trial = reservation(0, 31, "n-1");
    trial.onRunningReported(1000);
    assertFalse(history.hasOutlivedFailures(trial, 1000 + 5 * STEP_MS));
    assertTrue(history.hasOutlivedFailures(trial, 1000 + 10 * STEP_MS), "a short run is enough");
  }

  @Test
  void failureAfterRestoreConfirmsTheSuspicion() {
    history.restore(emptyAllocation(30), TASKS);
    recordFailure(0, 31, "n-1", 5000);
    assertTrue(history.isConfirmedSuspect());
    assertTrue(history.notBeforeMs() >= 5000 + 32 * STEP_MS);
  }

  @Test
  void arrayWithFinishedTasksIsNotSuspectedAfterRestore() {
    StoredRecord.Allocation oneFinished =
        new StoredRecord.Allocation(
            30, false, ImmutableList.of(), ImmutableList.of(new StoredRecord.TaskRange(0, 0)));
    history.restore(oneFinished, TASKS);
    assertFalse(history.isSuspected());
  }

  @Test
  void machineIsAvoidedForATimeAndNotOnceTheJobIsAtFault() {
    recordFailure(0, 1, "n-1", 1000);
    assertTrue(history.isAvoided("n-1", 2000));
    assertFalse(history.isAvoided("n-2", 2000));
    assertFalse(history.isAvoided("n-1", 1000 + 31 * STEP_MS), "the other machines may stay full");
    recordFailure(0, 2, "n-2", 2000);
    recordFailure(0, 3, "n-3", 3000);
    assertFalse(history.isAvoided("n-1", 3000));
    assertTrue(history.isJobAtFault());
  }
}
