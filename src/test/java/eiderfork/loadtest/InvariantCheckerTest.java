package eiderfork.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableMap;
import eiderfork.model.Attempt;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.model.TaskId;
import eiderfork.model.Team;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that each kind of breach is detected and a regular job lifecycle reports none. */
class InvariantCheckerTest {
  private static final long CANCEL_MS = 1000;

  private final InvariantChecker checker =
      new InvariantChecker(CANCEL_MS, ImmutableMap.of("team", new Team("team", 1, 2, 0, 0)));

  private static Job job(String uid, int tasks) {
    return new Job(
        uid,
        "class",
        "team",
        JobKind.ARRAY,
        Priority.HIGH,
        tasks,
        new Resources(1, 0, 1),
        null,
        null,
        false,
        false,
        false,
        "image",
        1,
        1,
        0,
        0,
        null);
  }

  private static Attempt attempt(String uid, int index, long number) {
    return new Attempt(new TaskId(uid, index), number);
  }

  private void accept(String uid, int tasks) {
    checker.submitted(job(uid, tasks));
    checker.accepted(uid);
  }

  private void receiveStatus(String uid, JobStatus.Phase phase, long requestedMs, long nowMs) {
    checker.statusReceived(new JobStatus(uid, phase, 0, 0), requestedMs, nowMs);
  }

  private List<InvariantChecker.Rule> brokenRules() {
    return checker.breaches().stream().map(InvariantChecker.Breach::rule).toList();
  }

  @Test
  void regularLifecycleBreaksNoRule() {
    accept("run-1", 1);
    checker.started("a", attempt("run-1", 0, 1), 0);
    checker.stopped("a", attempt("run-1", 0, 1), false);
    checker.started("b", attempt("run-1", 0, 2), 10);
    receiveStatus("run-1", JobStatus.Phase.RUNNING, 11, 12);
    checker.stopped("b", attempt("run-1", 0, 2), true);
    receiveStatus("run-1", JobStatus.Phase.DONE, 20, 21);
    receiveStatus("run-1", JobStatus.Phase.DONE, 30, 31);
    // Requested before the final status was received, answered after it.
    receiveStatus("run-1", JobStatus.Phase.RUNNING, 15, 32);
    checker.tick(10_000);
    assertEquals(List.of(), brokenRules());
  }

  @Test
  void detectsTaskOnTwoMachines() {
    accept("run-1", 1);
    checker.started("a", attempt("run-1", 0, 1), 0);
    checker.started("b", attempt("run-1", 0, 2), 10);
    assertEquals(List.of(InvariantChecker.Rule.RAN_TWICE), brokenRules());
  }

  @Test
  void detectsTeamOverItsLimit() {
    accept("run-1", 3);
    checker.started("a", attempt("run-1", 0, 1), 0);
    checker.started("a", attempt("run-1", 1, 1), 0);
    assertEquals(List.of(), brokenRules());
    checker.started("a", attempt("run-1", 2, 1), 0);
    assertEquals(List.of(InvariantChecker.Rule.QUOTA), brokenRules());
  }

  @Test
  void detectsForgottenJob() {
    checker.submitted(job("run-1", 1));
    checker.permanentlyRejected("run-1", checker.isAccepted("run-1"));
    assertEquals(List.of(), brokenRules());
    checker.accepted("run-1");
    checker.permanentlyRejected("run-1", checker.isAccepted("run-1"));
    assertEquals(List.of(InvariantChecker.Rule.FORGOTTEN), brokenRules());
  }

  @Test
  void detectsJobLeavingItsFinalPhase() {
    accept("run-1", 1);
    checker.cancelRequested("run-1");
    receiveStatus("run-1", JobStatus.Phase.ABORTED, 0, 5);
    receiveStatus("run-1", JobStatus.Phase.RUNNING, 6, 7);
    assertEquals(List.of(InvariantChecker.Rule.WENT_BACK), brokenRules());
  }

  @Test
  void detectsAbortWithoutCancelRequest() {
    accept("run-1", 1);
    receiveStatus("run-1", JobStatus.Phase.ABORTED, 0, 5);
    assertEquals(List.of(InvariantChecker.Rule.WENT_BACK), brokenRules());
  }

  @Test
  void detectsJobDoneBeforeItsTasks() {
    accept("run-1", 2);
    checker.started("a", attempt("run-1", 0, 1), 0);
    checker.stopped("a", attempt("run-1", 0, 1), true);
    receiveStatus("run-1", JobStatus.Phase.DONE, 5, 6);
    assertEquals(List.of(InvariantChecker.Rule.NOT_DONE), brokenRules());
  }

  @Test
  void detectsCancelledTaskStillRunning() {
    accept("run-1", 1);
    checker.started("a", attempt("run-1", 0, 1), 0);
    checker.cancelRequested("run-1");
    receiveStatus("run-1", JobStatus.Phase.ABORTED, 0, 5);
    checker.tick(5 + CANCEL_MS);
    assertEquals(List.of(), brokenRules());
    checker.tick(6 + CANCEL_MS);
    assertEquals(List.of(InvariantChecker.Rule.RAN_CANCELLED), brokenRules());
  }

  @Test
  void detectsCancelledTaskStartedLate() {
    accept("run-1", 1);
    checker.cancelRequested("run-1");
    receiveStatus("run-1", JobStatus.Phase.ABORTED, 0, 5);
    checker.tick(6 + CANCEL_MS);
    checker.started("a", attempt("run-1", 0, 1), 7 + CANCEL_MS);
    assertEquals(List.of(InvariantChecker.Rule.RAN_CANCELLED), brokenRules());
  }

  @Test
  void detectsUnknownJob() {
    receiveStatus("run-9", JobStatus.Phase.PENDING, 0, 1);
    assertEquals(List.of(InvariantChecker.Rule.INVENTED), brokenRules());
  }
}
