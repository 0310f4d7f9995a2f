package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What batch work borrows, and how it is reclaimed, without failures. */
class QuotaBorrowingTest {
  private final QuotaCluster scenario = QuotaCluster.withBorrowing(3);
  private final SimulatedCluster cluster = scenario.cluster;

  private void assertRulesAndGuaranteesHold() {
    ExpectedOutcome.assertNoViolations(cluster);
    assertEquals(List.of(), scenario.guaranteeChecker.unexplained);
  }

  /** Replicas of the lowest priority get their team's guarantee from a borrower's array. */
  @Test
  void aTeamGetsItsGuaranteeBackFromABorrower() {
    Job night = scenario.fillWithNightArray(120, 10);
    Job desk = scenario.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    cluster.run(QuotaCluster.RECLAIM_S);
    assertEquals(8, scenario.runningTasks(desk));
    assertEquals(8, scenario.runningTasks(night));
    assertEquals(8, cluster.progress.stopCount(), "no more than is needed");
    assertRulesAndGuaranteesHold();
  }

  /** Without lending nothing is reclaimed by guarantees. */
  @Test
  void withoutLendingTheTeamWaits() {
    QuotaCluster off = QuotaCluster.withoutBorrowing(3);
    Job night = off.fillWithNightArray(120, 10);
    Job desk = off.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    off.cluster.run(20);
    assertEquals(0, off.runningTasks(desk));
    assertEquals(16, off.runningTasks(night));
    assertTrue(!off.guaranteeChecker.unexplained.isEmpty(), "the checker sees it");
  }

  /** Arrays reclaim, too, but for no more than their team is guaranteed. */
  @Test
  void anArrayGetsItsTeamsGuaranteeAndNoMore() {
    Job night = scenario.fillWithNightArray(200, 10);
    Job lab = scenario.submit(QuotaCluster.array(2, 12, 200, 10, QuotaCluster.LAB));
    cluster.run(QuotaCluster.RECLAIM_S + 10);
    assertEquals(4, scenario.runningTasks(lab));
    assertEquals(12, scenario.runningTasks(night));
    assertRulesAndGuaranteesHold();
  }

  /** No team loses its guarantee: the last four GPUs stay with the lender. */
  @Test
  void theLenderKeepsItsGuarantee() {
    Job night = scenario.fillWithNightArray(200, 10);
    scenario.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    Job lab = scenario.submit(QuotaCluster.array(3, 8, 200, 10, QuotaCluster.LAB));
    Job urgent =
        QuotaCluster.job(4, JobKind.SERVICE, 4, 0, 0, QuotaCluster.DESK, Priority.PRODUCTION);
    scenario.submit(urgent);
    cluster.run(30);
    assertEquals(4, scenario.runningTasks(night));
    assertEquals(4, scenario.runningTasks(lab));
    assertRulesAndGuaranteesHold();
  }

  /** Of two tasks on a machine only one is borrowed. Both would have to go, so neither does. */
  @Test
  void theSecondVictimOnAMachineIsJudgedAfterTheFirst() {
    QuotaCluster scenario = QuotaCluster.withBorrowing(3, 40);
    Job night = scenario.submit(QuotaCluster.array(1, 5, 200, 10, QuotaCluster.NIGHT));
    scenario.cluster.run(20);
    Job desk = scenario.submit(QuotaCluster.replicas(2, 6, QuotaCluster.DESK));
    Job lab = scenario.submit(QuotaCluster.replicas(3, 5, QuotaCluster.LAB));
    scenario.cluster.run(8);
    assertEquals(
        16,
        scenario.runningTasks(night) + scenario.runningTasks(desk) + scenario.runningTasks(lab));
    long stops = scenario.cluster.progress.stopCount();
    Resources twoGpus = new Resources(1, 2, 4);
    scenario.submit(
        QuotaCluster.job(4, JobKind.SERVICE, twoGpus, 1, 0, 0, 0, QuotaCluster.DESK, Priority.LOW));
    scenario.cluster.run(12);
    assertEquals(5, scenario.runningTasks(night));
    assertEquals(stops, scenario.cluster.progress.stopCount());
    ExpectedOutcome.assertNoViolations(scenario.cluster);
  }

  /** A gang near its checkpoint is preempted right after it, and resumes from there. */
  @Test
  void aGangNearItsCheckpointIsReclaimedRightAfterIt() {
    Job gang = scenario.submit(QuotaCluster.gang(1, 16, 300, 20, QuotaCluster.NIGHT));
    cluster.run(25);
    assertEquals(16, scenario.runningTasks(gang));
    Job desk = scenario.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    cluster.run(15);
    assertEquals(8, scenario.runningTasks(desk));
    assertEquals(0, scenario.runningTasks(gang), "it needs all of its tasks");
    cluster.cancel(desk.uid());
    cluster.run(30);
    assertRulesAndGuaranteesHold();
  }

  /** Tasks that were reclaimed before are not the first to be reclaimed again. */
  @Test
  void reclaimsAreSpreadOverTheTasks() {
    scenario.fillWithNightArray(600, 10);
    for (int peak = 0; peak < 4; peak++) {
      Job desk = scenario.submit(QuotaCluster.replicas(10 + peak, 4, QuotaCluster.DESK));
      cluster.run(20);
      assertEquals(4, scenario.runningTasks(desk));
      cluster.cancel(desk.uid());
      cluster.run(100);
    }
    assertTrue(cluster.progress.maxStopsPerTask() <= 2, "stops of one task");
    assertRulesAndGuaranteesHold();
  }

  /** Capacity that is withheld from a borrowing gang is free for a team within its guarantee. */
  @Test
  void aBorrowingGangDoesNotClaimWithheldCapacity() {
    QuotaCluster scenario = QuotaCluster.withBorrowing(3, 40);
    Job night = scenario.fillWithNightArray(600, 10);
    Job desk = scenario.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    scenario.cluster.run(15);
    assertEquals(8, scenario.runningTasks(desk));
    scenario.cluster.cancel(desk.uid());
    Job gang = scenario.submit(QuotaCluster.gang(3, 5, 60, 10, QuotaCluster.NIGHT));
    Job lab = QuotaCluster.array(4, 4, 60, 10, QuotaCluster.LAB);
    scenario.cluster.schedule(3000, () -> scenario.submit(lab));
    scenario.cluster.run(8);
    assertEquals(0, scenario.runningTasks(gang), "the capacity is withheld from it");
    assertEquals(4, scenario.runningTasks(lab));
    assertEquals(8, scenario.cluster.progress.stopCount(), "there was free capacity");
    assertEquals(8, scenario.runningTasks(night));
    ExpectedOutcome.assertNoViolations(scenario.cluster);
  }

  /** An urgent gang beyond its team's guarantee gets the capacity that is freed for it. */
  @Test
  void aBorrowingGangStartsWhereCapacityWasFreedForIt() {
    QuotaCluster scenario = QuotaCluster.withBorrowing(3, 40);
    Job night = scenario.fillWithNightArray(600, 10);
    Job gang = QuotaCluster.job(2, JobKind.GANG, 6, 100, 10, QuotaCluster.LAB, Priority.PRODUCTION);
    scenario.submit(gang);
    scenario.cluster.run(QuotaCluster.RECLAIM_S);
    assertEquals(6, scenario.runningTasks(gang));
    assertEquals(10, scenario.runningTasks(night));
    ExpectedOutcome.assertNoViolations(scenario.cluster);
  }

  /** A save that hangs is ended, and the preemptor gets the capacity. */
  @Test
  void aSaveThatHangsIsEnded() {
    Job night = scenario.fillWithNightArray(200, 30);
    cluster
        .workers()
        .forEach(worker -> cluster.progress.machinesWithHangingSaves.add(worker.machine.name()));
    Job desk = scenario.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    cluster.run(20);
    assertEquals(8, scenario.runningTasks(desk));
    assertEquals(8, scenario.runningTasks(night));
    ExpectedOutcome.assertNoViolations(cluster);
  }
}
