package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What batch work borrows, and how it is reclaimed, while nothing fails. */
class QuotaBorrowingTest {
  private final QuotaCluster lending = QuotaCluster.on(3);
  private final SimulatedCluster world = lending.world;

  private void holds() {
    ExpectedOutcome.rulesHold(world);
    assertEquals(List.of(), lending.guarantees.unexplained);
  }

  /** Replicas of the lowest priority get their team's guarantee from a borrower's array. */
  @Test
  void aTeamGetsItsGuaranteeBackFromABorrower() {
    Job night = lending.filledByNight(120, 10);
    Job desk = lending.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    world.run(QuotaCluster.RECLAIM_S);
    assertEquals(8, lending.running(desk));
    assertEquals(8, lending.running(night));
    assertEquals(8, world.progress.stops(), "no more than is needed");
    holds();
  }

  /** With the switch off nothing is reclaimed by guarantees. */
  @Test
  void withoutLendingTheTeamWaits() {
    QuotaCluster off = QuotaCluster.off(3);
    Job night = off.filledByNight(120, 10);
    Job desk = off.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    off.world.run(20);
    assertEquals(0, off.running(desk));
    assertEquals(16, off.running(night));
    assertTrue(!off.guarantees.unexplained.isEmpty(), "the checker sees it");
  }

  /** Arrays reclaim, too, but for no more than their team is guaranteed. */
  @Test
  void anArrayGetsItsTeamsGuaranteeAndNoMore() {
    Job night = lending.filledByNight(200, 10);
    Job lab = lending.submit(QuotaCluster.array(2, 12, 200, 10, QuotaCluster.LAB));
    world.run(QuotaCluster.RECLAIM_S + 10);
    assertEquals(4, lending.running(lab));
    assertEquals(12, lending.running(night));
    holds();
  }

  /** Nobody is brought below the guarantee: the last four stay with the lender. */
  @Test
  void theLenderKeepsItsGuarantee() {
    Job night = lending.filledByNight(200, 10);
    lending.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    Job lab = lending.submit(QuotaCluster.array(3, 8, 200, 10, QuotaCluster.LAB));
    Job urgent =
        QuotaCluster.job(4, JobKind.SERVICE, 4, 0, 0, QuotaCluster.DESK, Priority.PRODUCTION);
    lending.submit(urgent);
    world.run(30);
    assertEquals(4, lending.running(night));
    assertEquals(4, lending.running(lab));
    holds();
  }

  /** Of two tasks on one machine only one is borrowed: both would make room, and neither goes. */
  @Test
  void theSecondVictimOnAMachineIsJudgedAfterTheFirst() {
    QuotaCluster w = QuotaCluster.on(3, 40);
    Job night = w.submit(QuotaCluster.array(1, 5, 200, 10, QuotaCluster.NIGHT));
    w.world.run(20);
    Job desk = w.submit(QuotaCluster.replicas(2, 6, QuotaCluster.DESK));
    Job lab = w.submit(QuotaCluster.replicas(3, 5, QuotaCluster.LAB));
    w.world.run(8);
    assertEquals(16, w.running(night) + w.running(desk) + w.running(lab));
    long stops = w.world.progress.stops();
    Resources twoGpus = new Resources(1, 2, 4);
    w.submit(
        QuotaCluster.job(4, JobKind.SERVICE, twoGpus, 1, 0, 0, 0, QuotaCluster.DESK, Priority.LOW));
    w.world.run(12);
    assertEquals(5, w.running(night));
    assertEquals(stops, w.world.progress.stops());
    ExpectedOutcome.rulesHold(w.world);
  }

  /** A gang near its checkpoint is waited for; its work goes on from there. */
  @Test
  void aGangNearItsCheckpointIsReclaimedRightAfterIt() {
    Job gang = lending.submit(QuotaCluster.gang(1, 16, 300, 20, QuotaCluster.NIGHT));
    world.run(25);
    assertEquals(16, lending.running(gang));
    Job desk = lending.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    world.run(15);
    assertEquals(8, lending.running(desk));
    assertEquals(0, lending.running(gang), "it needs all of its tasks");
    world.abort(desk.uid());
    world.run(30);
    holds();
  }

  /** Tasks that were reclaimed before are not the first to be reclaimed again. */
  @Test
  void reclaimsAreSpreadOverTheTasks() {
    lending.filledByNight(600, 10);
    for (int rush = 0; rush < 4; rush++) {
      Job desk = lending.submit(QuotaCluster.replicas(10 + rush, 4, QuotaCluster.DESK));
      world.run(20);
      assertEquals(4, lending.running(desk));
      world.abort(desk.uid());
      world.run(100);
    }
    assertTrue(world.progress.mostStopsOfATask() <= 2, "stops of one task");
    holds();
  }

  /** Free room that is kept from a gang that borrows is there for a team within its guarantee. */
  @Test
  void aBorrowingGangClaimsNoRoomThatIsKeptFromIt() {
    QuotaCluster w = QuotaCluster.on(3, 40);
    Job night = w.filledByNight(600, 10);
    Job desk = w.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    w.world.run(15);
    assertEquals(8, w.running(desk));
    w.world.abort(desk.uid());
    Job gang = w.submit(QuotaCluster.gang(3, 5, 60, 10, QuotaCluster.NIGHT));
    Job lab = QuotaCluster.array(4, 4, 60, 10, QuotaCluster.LAB);
    w.world.at(3000, () -> w.submit(lab));
    w.world.run(8);
    assertEquals(0, w.running(gang), "it is kept from the room");
    assertEquals(4, w.running(lab));
    assertEquals(8, w.world.progress.stops(), "there was room");
    assertEquals(8, w.running(night));
    ExpectedOutcome.rulesHold(w.world);
  }

  /** An urgent gang beyond its team's guarantee gets the room that is made for it. */
  @Test
  void aBorrowingGangStartsWhereRoomWasMadeForIt() {
    QuotaCluster w = QuotaCluster.on(3, 40);
    Job night = w.filledByNight(600, 10);
    Job gang = QuotaCluster.job(2, JobKind.GANG, 6, 100, 10, QuotaCluster.LAB, Priority.PRODUCTION);
    w.submit(gang);
    w.world.run(QuotaCluster.RECLAIM_S);
    assertEquals(6, w.running(gang));
    assertEquals(10, w.running(night));
    ExpectedOutcome.rulesHold(w.world);
  }

  /** A save that hangs is ended, and the room goes to the job that waits for it. */
  @Test
  void aSaveThatHangsIsGivenUp() {
    Job night = lending.filledByNight(200, 30);
    world.workers().forEach(w -> world.progress.savesHangOn.add(w.machine.name()));
    Job desk = lending.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK));
    world.run(20);
    assertEquals(8, lending.running(desk));
    assertEquals(8, lending.running(night));
    ExpectedOutcome.rulesHold(world);
  }
}
