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

/** The checker catches a planted breach of each rule, and nothing where there is none. */
class ProtocolCheckerTest {
  private final ProtocolChecker checker =
      new ProtocolChecker(TestFixtures.settings("roost-0").teams(), 30_000);
  private final Machine one = new Machine("n-1", "n-1:1", "g4", "a", false);
  private final Machine two = new Machine("n-2", "n-2:1", "g4", "a", false);

  private static UserResponse says(String uid, Phase stance) {
    return UserResponse.ok(new JobStatus(uid, stance, 0, 0));
  }

  private void told(long nowMs, String uid, UserResponse response, boolean submission) {
    checker.checkResponse(nowMs, uid, response, submission, checker.knownState(uid));
  }

  private Job submit(Job job) {
    checker.recordSubmission(job);
    told(0, job.uid(), says(job.uid(), Phase.PENDING), true);
    return job;
  }

  private void assertOnly(String rule) {
    assertEquals(1, checker.violations.size(), checker.violations::toString);
    assertTrue(checker.violations.get(0).startsWith(rule), checker.violations::toString);
  }

  @Test
  void passesAnOrderlyHistory() {
    Job job = submit(TestFixtures.job(1, JobKind.ARRAY, 1, 1));
    TaskId task = new TaskId(job.uid(), 0);
    checker.recordStart(1, task, one);
    checker.recordEnd(task, one);
    checker.recordStart(2, task, two);
    checker.recordCompletion(task);
    checker.recordEnd(task, two);
    told(3, job.uid(), says(job.uid(), Phase.DONE), false);
    assertTrue(checker.violations.isEmpty());
  }

  @Test
  void catchesATaskInTwoPlaces() {
    Job job = submit(TestFixtures.job(1, JobKind.ARRAY, 1, 1));
    checker.recordStart(1, new TaskId(job.uid(), 0), one);
    checker.recordStart(2, new TaskId(job.uid(), 0), two);
    assertOnly("ran_twice");
  }

  @Test
  void catchesATeamOverItsLimit() {
    Job job = submit(TestFixtures.job(1, JobKind.ARRAY, 11, 1, "red", Priority.LOW, false, false));
    for (int i = 0; i < 11; i++) {
      checker.recordStart(1, new TaskId(job.uid(), i), one);
    }
    assertOnly("quota");
  }

  @Test
  void catchesAnOrdinaryJobOnASpotMachine() {
    Job job = submit(TestFixtures.job(1, JobKind.ARRAY, 1, 1));
    checker.recordStart(1, new TaskId(job.uid(), 0), new Machine("n-3", "", "g4", "a", true));
    assertOnly("wrong_place");
  }

  @Test
  void catchesAJobThatIsNotSpread() {
    Job job =
        submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1, "blue", Priority.HIGH, true, false));
    checker.recordStart(1, new TaskId(job.uid(), 0), one);
    checker.recordStart(1, new TaskId(job.uid(), 1), two);
    assertOnly("wrong_place");
  }

  @Test
  void catchesACancelledJobThatRunsOn() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    checker.recordStart(1, new TaskId(job.uid(), 0), one);
    checker.recordCancellation(job.uid());
    told(1000, job.uid(), says(job.uid(), Phase.ABORTED), false);
    checker.checkCancelledTasks(31_000);
    assertTrue(checker.violations.isEmpty());
    checker.checkCancelledTasks(31_001);
    assertOnly("ran_cancelled");
  }

  @Test
  void catchesWhatUsersMustNotBeTold() {
    Job job = submit(TestFixtures.job(1, JobKind.ARRAY, 1, 1));
    told(1, job.uid(), UserResponse.refused(404, ""), false);
    told(1, "run-9", says("run-9", Phase.PENDING), false);
    told(1, job.uid(), says(job.uid(), Phase.DONE), false);
    told(1, job.uid(), says(job.uid(), Phase.RUNNING), false);
    told(1, job.uid(), UserResponse.refused(422, ""), true);
    assertEquals(
        java.util.List.of("forgotten", "invented", "not_done", "went_back", "forgotten"),
        checker.violations.stream().map(b -> b.substring(0, b.indexOf(':'))).toList());
  }
}
