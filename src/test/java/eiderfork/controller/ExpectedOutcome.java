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

  static void rulesHold(SimulatedCluster world) {
    assertEquals(List.of(), world.checker.breaches);
  }

  /**
   * Troubles are over: after 90 s each job that was accepted and not cancelled runs in full or is
   * done, no task of a cancelled one is left, and every node answers for each.
   */
  static void allServed(SimulatedCluster world, List<Job> jobs) {
    world.quiet();
    world.run(WAITS_S);
    int startsBefore = world.checker.startsAfterCancellation;
    int answersBefore = world.checker.answers;
    jobs.forEach(job -> world.queryAll(job.uid()));
    world.run(5);
    rulesHold(world);
    assertEquals(
        answersBefore + world.all().size() * jobs.size(),
        world.checker.answers,
        "questions answered");
    assertEquals(startsBefore, world.checker.startsAfterCancellation);
    for (Job job : jobs) {
      assertTrue(world.checker.wasAccepted(job.uid()), job::uid);
      if (world.checker.finalStance(job.uid()) == Phase.ABORTED) {
        assertEquals(0, world.checker.running(job.uid()), job::uid);
      } else if (job.kind() == JobKind.SERVICE) {
        assertEquals(job.tasks(), world.checker.running(job.uid()), job::uid);
      } else {
        assertEquals(Phase.DONE, world.checker.finalStance(job.uid()), job::uid);
      }
    }
  }
}
