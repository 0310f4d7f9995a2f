package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import java.util.List;

/** What has to come of every meeting of troubles. */
final class ExpectedOutcome {
  /** For how long work may wait once troubles are over while there is room and quota. */
  private static final double WAITS_S = 90;

  private ExpectedOutcome() {}

  static void assertNoViolations(SimulatedCluster cluster) {
    assertEquals(List.of(), cluster.checker.violations);
  }

  /**
   * Troubles are over: after 90 s each job that was accepted and not cancelled runs in full or is
   * done, no task of a cancelled one is left, and every node answers for each.
   */
  static void assertAllJobsServed(SimulatedCluster cluster, List<Job> jobs) {
    cluster.clearFaults();
    cluster.run(WAITS_S);
    int startsBefore = cluster.checker.startsAfterCancellation;
    int answersBefore = cluster.checker.answeredRequests;
    jobs.forEach(job -> cluster.queryAllNodes(job.uid()));
    cluster.run(5);
    assertNoViolations(cluster);
    assertEquals(
        answersBefore + cluster.nodeNames().size() * jobs.size(),
        cluster.checker.answeredRequests,
        "questions answered");
    assertEquals(startsBefore, cluster.checker.startsAfterCancellation);
    for (Job job : jobs) {
      assertTrue(cluster.checker.wasAccepted(job.uid()), job::uid);
      if (cluster.checker.finalPhase(job.uid()) == Phase.ABORTED) {
        assertEquals(0, cluster.checker.runningTasks(job.uid()), job::uid);
      } else if (job.kind() == JobKind.SERVICE) {
        assertEquals(job.tasks(), cluster.checker.runningTasks(job.uid()), job::uid);
      } else {
        assertEquals(Phase.DONE, cluster.checker.finalPhase(job.uid()), job::uid);
      }
    }
  }
}
