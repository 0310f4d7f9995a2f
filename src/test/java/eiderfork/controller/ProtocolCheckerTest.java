package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.message.UserResponse;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.Machine;
import eiderfork.model.Priority;
import eiderfork.model.TaskId;
import org.junit.jupiter.api.Test;

/** Tests that the checker reports a violation of each rule, and none in a valid history. */
class ProtocolCheckerTest {
  private final ProtocolChecker checker =
      new ProtocolChecker(TestFixtures.settings("roost-0").teams(), 30_000);
  private final Machine machine1 = new Machine("n-1", "n-1:1", "g4", "a", false);
  private final Machine machine2 = new Machine("n-2", "n-2:1", "g4", "a", false);

  private static UserResponse response(String uid, Phase phase) {
    return UserResponse.ok(new JobStatus(uid, phase, 0, 0));
  }

  private void checkResponse(long nowMs, String uid, UserResponse response, boolean isSubmission) {
    checker.checkResponse(nowMs, uid, response, isSubmission, checker.knownState(uid));
  }

  private Job submit(Job job) {
    checker.recordSubmission(job);
    checkResponse(0, job.uid(), response(job.uid(), Phase.PENDING), true);
    return job;
  }

  private void assertOnlyViolation(String rule) {
    assertEquals(1, checker.violations.size(), checker.violations::toString);
    assertTrue(checker.violations.get(0).startsWith(rule), checker.violations::toString);
  }

  @Test
  void acceptsValidHistory() {
    Job job = submit(TestFixtures.job(1, JobKind.ARRAY, 1, 1));
    TaskId task = new TaskId(job.uid(), 0);
    checker.recordStart(1, task, machine1);
    checker.recordEnd(task, machine1);
    checker.recordStart(2, task, machine2);
    checker.recordCompletion(task);
    checker.recordEnd(task, machine2);
    checkResponse(3, job.uid(), response(job.uid(), Phase.DONE), false);
    assertTrue(checker.violations.isEmpty());
  }

  @Test
  void rejectsTaskOnTwoMachines() {
    Job job = submit(TestFixtures.job(1, JobKind.ARRAY, 1, 1));
    checker.recordStart(1, new TaskId(job.uid(), 0), machine1);
    checker.recordStart(2, new TaskId(job.uid(), 0), machine2);
    assertOnlyViolation("ran_twice");
  }

  @Test
  void rejectsTeamAboveItsLimit() {
    Job job = submit(TestFixtures.job(1, JobKind.ARRAY, 11, 1, "red", Priority.LOW, false, false));
    for (int i = 0; i < 11; i++) {
      checker.recordStart(1, new TaskId(job.uid(), i), machine1);
    }
    assertOnlyViolation("quota");
  }

  @Test
  void rejectsNonSpotJobOnSpotMachine() {
    Job job = submit(TestFixtures.job(1, JobKind.ARRAY, 1, 1));
    checker.recordStart(1, new TaskId(job.uid(), 0), new Machine("n-3", "", "g4", "a", true));
    assertOnlyViolation("wrong_place");
  }

  @Test
  void rejectsUnspreadReplicas() {
    Job job =
        submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1, "blue", Priority.HIGH, true, false));
    checker.recordStart(1, new TaskId(job.uid(), 0), machine1);
    checker.recordStart(1, new TaskId(job.uid(), 1), machine2);
    assertOnlyViolation("wrong_place");
  }

  @Test
  void rejectsCancelledJobRunningPastDeadline() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    checker.recordStart(1, new TaskId(job.uid(), 0), machine1);
    checker.recordCancellation(job.uid());
    checkResponse(1000, job.uid(), response(job.uid(), Phase.ABORTED), false);
    checker.checkCancelledTasks(31_000);
    assertTrue(checker.violations.isEmpty());
    checker.checkCancelledTasks(31_001);
    assertOnlyViolation("ran_cancelled");
  }

  @Test
  void rejectsInvalidResponsesToUsers() {
    Job job = submit(TestFixtures.job(1, JobKind.ARRAY, 1, 1));
    checkResponse(1, job.uid(), UserResponse.refused(404, ""), false);
    checkResponse(1, "run-9", response("run-9", Phase.PENDING), false);
    checkResponse(1, job.uid(), response(job.uid(), Phase.DONE), false);
    checkResponse(1, job.uid(), response(job.uid(), Phase.RUNNING), false);
    checkResponse(1, job.uid(), UserResponse.refused(422, ""), true);
    assertEquals(
        java.util.List.of("forgotten", "invented", "not_done", "went_back", "forgotten"),
        checker.violations.stream()
            .map(violation -> violation.substring(0, violation.indexOf(':')))
            .toList());
  }
}
