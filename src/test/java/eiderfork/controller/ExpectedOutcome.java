package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import java.util.List;

/** Assertions on the outcome of a history with faults. */
final class ExpectedOutcome {
  /** The time that work may wait after the last fault if there is capacity and quota. */
  private static final double RECOVERY_S = 90;

  private ExpectedOutcome() {}

  static void assertNoViolations(SimulatedCluster cluster) {
    assertEquals(List.of(), cluster.checker.violations);
  }

  /**
   * Ends all faults and asserts the outcome after 90 s: each job was accepted; a job that was not
   * cancelled runs in full or is done, no task of a cancelled one runs, and every node answers
   * queries for each.
   */
  static void assertAllJobsServed(SimulatedCluster cluster, List<Job> jobs) {
    cluster.clearFaults();
    cluster.run(RECOVERY_S);
    int startsBefore = cluster.checker.startsAfterCancellation;
    int answersBefore = cluster.checker.answeredRequests;
    jobs.forEach(job -> cluster.queryAllNodes(job.uid()));
    cluster.run(5);
    assertNoViolations(cluster);
    assertEquals(
        answersBefore + cluster.nodeNames().size() * jobs.size(),
        cluster.checker.answeredRequests,
        "answered queries");
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
