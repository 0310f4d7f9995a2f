package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how batch work borrows quota, and how the quota is reclaimed, without failures. */
class QuotaBorrowingTest {
  private final QuotaCluster scenario = QuotaCluster.withBorrowing(3);
  private final SimulatedCluster cluster = scenario.cluster;

  private void assertInvariantsAndGuaranteesHold() {
    ExpectedOutcome.assertNoViolations(cluster);
    assertEquals(List.of(), scenario.guaranteeChecker.unexplained);
  }

  /** Replicas of the lowest priority reclaim their team's guarantee from a borrower's array. */
  @Test
  void teamReclaimsItsGuaranteeFromABorrower() {
    Job night = scenario.fillWithNightArray(120, 10);
    Job desk = scenario.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    cluster.run(QuotaCluster.RECLAIM_S);
    assertEquals(8, scenario.runningTasks(desk));
    assertEquals(8, scenario.runningTasks(night));
    assertEquals(8, cluster.progress.stopCount(), "stopped tasks");
    assertInvariantsAndGuaranteesHold();
  }

  /** If lending is disabled, no quota is reclaimed for guarantees. */
  @Test
  void teamWaitsForItsGuaranteeWithoutLending() {
    QuotaCluster noLending = QuotaCluster.withoutBorrowing(3);
    Job night = noLending.fillWithNightArray(120, 10);
    Job desk = noLending.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    noLending.cluster.run(20);
    assertEquals(0, noLending.runningTasks(desk));
    assertEquals(16, noLending.runningTasks(night));
    assertTrue(
        !noLending.guaranteeChecker.unexplained.isEmpty(),
        "the checker did not record the shortfall");
  }

  /** An array reclaims quota, too, but no more than its team's guarantee. */
  @Test
  void arrayReclaimsNoMoreThanItsTeamsGuarantee() {
    Job night = scenario.fillWithNightArray(200, 10);
    Job lab = scenario.submit(QuotaCluster.array(2, 12, 200, 10, QuotaCluster.LAB));
    cluster.run(QuotaCluster.RECLAIM_S + 10);
    assertEquals(4, scenario.runningTasks(lab));
    assertEquals(12, scenario.runningTasks(night));
    assertInvariantsAndGuaranteesHold();
  }

  /** No team loses its guarantee: the night team keeps its last four GPUs. */
  @Test
  void borrowerKeepsItsOwnGuarantee() {
    Job night = scenario.fillWithNightArray(200, 10);
    scenario.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    Job lab = scenario.submit(QuotaCluster.array(3, 8, 200, 10, QuotaCluster.LAB));
    Job urgent =
        QuotaCluster.job(4, JobKind.SERVICE, 4, 0, 0, QuotaCluster.DESK, Priority.PRODUCTION);
    scenario.submit(urgent);
    cluster.run(30);
    assertEquals(4, scenario.runningTasks(night));
    assertEquals(4, scenario.runningTasks(lab));
    assertInvariantsAndGuaranteesHold();
  }

  /**
   * Only one of two tasks on a machine runs on borrowed quota. Both would have to be preempted, so
   * neither is.
   */
  @Test
  void guaranteeIsCheckedForEachVictimOnAMachine() {
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

  /** A gang that is near its next checkpoint is preempted right after it, and resumes from it. */
  @Test
  void gangNearItsCheckpointIsPreemptedRightAfterIt() {
    Job gang = scenario.submit(QuotaCluster.gang(1, 16, 300, 20, QuotaCluster.NIGHT));
    cluster.run(25);
    assertEquals(16, scenario.runningTasks(gang));
    Job desk = scenario.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    cluster.run(15);
    assertEquals(8, scenario.runningTasks(desk));
    assertEquals(
        0, scenario.runningTasks(gang), "running tasks of the gang, which can only run as a whole");
    cluster.cancel(desk.uid());
    cluster.run(30);
    assertInvariantsAndGuaranteesHold();
  }

  /** Tasks that were preempted by an earlier reclaim are not the first to be preempted again. */
  @Test
  void reclaimsAreSpreadOverTasks() {
    scenario.fillWithNightArray(600, 10);
    for (int peak = 0; peak < 4; peak++) {
      Job desk = scenario.submit(QuotaCluster.replicas(10 + peak, 4, QuotaCluster.DESK));
      cluster.run(20);
      assertEquals(4, scenario.runningTasks(desk));
      cluster.cancel(desk.uid());
      cluster.run(100);
    }
    assertTrue(cluster.progress.maxStopsPerTask() <= 2, "a task was stopped more than twice");
    assertInvariantsAndGuaranteesHold();
  }

  /**
   * Capacity that is withheld from a borrowing gang is available to a team within its guarantee.
   */
  @Test
  void borrowingGangDoesNotClaimWithheldCapacity() {
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
    assertEquals(
        0,
        scenario.runningTasks(gang),
        "running tasks of the gang, from which the capacity is withheld");
    assertEquals(4, scenario.runningTasks(lab));
    assertEquals(
        8,
        scenario.cluster.progress.stopCount(),
        "stopped tasks, although there was free capacity");
    assertEquals(8, scenario.runningTasks(night));
    ExpectedOutcome.assertNoViolations(scenario.cluster);
  }

  /** An urgent gang that exceeds its team's guarantee gets the capacity that is freed for it. */
  @Test
  void borrowingGangStartsWhereCapacityWasFreedForIt() {
    QuotaCluster scenario = QuotaCluster.withBorrowing(3, 40);
    Job night = scenario.fillWithNightArray(600, 10);
    Job gang = QuotaCluster.job(2, JobKind.GANG, 6, 100, 10, QuotaCluster.LAB, Priority.PRODUCTION);
    scenario.submit(gang);
    scenario.cluster.run(QuotaCluster.RECLAIM_S);
    assertEquals(6, scenario.runningTasks(gang));
    assertEquals(10, scenario.runningTasks(night));
    ExpectedOutcome.assertNoViolations(scenario.cluster);
  }

  /** A save that hangs is stopped, and the preemptor gets the capacity. */
  @Test
  void hangingSaveIsStopped() {
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
