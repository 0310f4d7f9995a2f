package eiderfork.controller.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Who may preempt whom, and what the ledger says after each victim. */
class QuotaPreemptionRulesTest {
  private static final TeamId DESK = new TeamId("desk");
  private static final TeamId NIGHT = new TeamId("night");
  private static final QuotaAmount ONE_GPU = new QuotaAmount(1, 4);

  private static TeamUsage account(TeamId team, double guaranteed, double used, double promised) {
    return new TeamUsage(
        team,
        new GuaranteedQuota(guaranteed, 0),
        new QuotaAmount(used, used * 4),
        QuotaAmount.NONE,
        new QuotaAmount(promised, 0),
        new QuotaAmount(3, 12));
  }

  private static QuotaLedger ledger(double lenderGuaranteed, double lenderUsed) {
    return new QuotaLedger(
        List.of(account(DESK, 8, 6, 1), account(NIGHT, lenderGuaranteed, lenderUsed, 0)));
  }

  private static Preemptor preemptor(
      JobKind kind, Priority priority, boolean within, boolean waited) {
    return new Preemptor(DESK, kind, priority, within, 5, waited);
  }

  private static String verdict(PreemptionDecision verdict) {
    return verdict instanceof PreemptionDecision.Allowed allowed
        ? allowed.reason() + " " + allowed.preference()
        : ((PreemptionDecision.Refused) verdict).reason().toString();
  }

  /**
   * Preemptor: kind, priority, within its guarantee. Victim: kind, priority. Lender: its figures.
   */
  @ParameterizedTest
  @CsvSource({
    "SERVICE, LOW, true, ARRAY, HIGH, 4, 8, GUARANTEE BORROWED_BATCH",
    "ARRAY, LOW, true, ARRAY, HIGH, 4, 8, GUARANTEE BORROWED_BATCH",
    "GANG, LOW, true, GANG, PRODUCTION, 0, 8, GUARANTEE BORROWED_BATCH",
    "ARRAY, HIGH, true, ARRAY, LOW, 4, 4, NOT_MORE_URGENT",
    "ARRAY, HIGH, false, ARRAY, LOW, 4, 8, NOT_MORE_URGENT",
    "SERVICE, LOW, false, ARRAY, HIGH, 4, 8, NOT_MORE_URGENT",
    "SERVICE, HIGH, false, ARRAY, LOW, 4, 8, PRIORITY BORROWED_BATCH",
    "SERVICE, HIGH, false, ARRAY, LOW, 0, 8, PRIORITY BORROWED_BATCH",
    "SERVICE, HIGH, false, ARRAY, LOW, 4, 4, LENDER_AT_GUARANTEE",
    "SERVICE, HIGH, false, ARRAY, LOW, 4, 4.5, LENDER_AT_GUARANTEE",
    "SERVICE, HIGH, true, ARRAY, LOW, 4, 4, PRIORITY GUARANTEED_BATCH",
    "SERVICE, HIGH, true, ARRAY, HIGH, 4, 4, NOT_MORE_URGENT",
    "SERVICE, PRODUCTION, true, SERVICE, LOW, 4, 8, GUARANTEE BORROWED_REPLICA",
    "SERVICE, PRODUCTION, false, SERVICE, LOW, 4, 8, NOT_MORE_URGENT",
    "SERVICE, PRODUCTION, true, SERVICE, LOW, 4, 4, NOT_MORE_URGENT"
  })
  void judgesByGuaranteeAndPriority(
      JobKind kind,
      Priority priority,
      boolean within,
      JobKind victimKind,
      Priority victimPriority,
      double lenderGuaranteed,
      double lenderUsed,
      String expected) {
    PreemptionVictim victim = new PreemptionVictim(NIGHT, victimKind, victimPriority, ONE_GPU);
    Preemptor preemptor = preemptor(kind, priority, within, true);
    QuotaLedger ledger = ledger(lenderGuaranteed, lenderUsed);
    assertEquals(expected, verdict(QuotaPreemptionRules.evaluate(preemptor, victim, ledger)));
  }

  @Test
  void aReplicaIsNotReclaimedWhileAMachineMayStillCome() {
    PreemptionVictim replica = new PreemptionVictim(NIGHT, JobKind.SERVICE, Priority.LOW, ONE_GPU);
    Preemptor preemptor = preemptor(JobKind.SERVICE, Priority.HIGH, true, false);
    assertEquals(
        "REPLICA_NOT_YET",
        verdict(QuotaPreemptionRules.evaluate(preemptor, replica, ledger(0, 8))));
  }

  @Test
  void withinATeamOnlyPriorityCounts() {
    PreemptionVictim own = new PreemptionVictim(DESK, JobKind.ARRAY, Priority.LOW, ONE_GPU);
    Preemptor urgent = preemptor(JobKind.SERVICE, Priority.HIGH, true, true);
    assertEquals(
        "PRIORITY BORROWED_BATCH",
        verdict(QuotaPreemptionRules.evaluate(urgent, own, ledger(4, 4))));
    Preemptor same = preemptor(JobKind.SERVICE, Priority.LOW, true, true);
    assertEquals("SAME_TEAM", verdict(QuotaPreemptionRules.evaluate(same, own, ledger(4, 4))));
  }

  /** Six used, four guaranteed: two may go, the third may not. */
  @Test
  void theSecondVictimIsJudgedAfterTheFirst() {
    QuotaLedger ledger = ledger(4, 6);
    Preemptor preemptor = preemptor(JobKind.SERVICE, Priority.LOW, true, true);
    PreemptionVictim victim = new PreemptionVictim(NIGHT, JobKind.ARRAY, Priority.HIGH, ONE_GPU);
    for (int i = 0; i < 2; i++) {
      assertEquals(
          "GUARANTEE BORROWED_BATCH",
          verdict(QuotaPreemptionRules.evaluate(preemptor, victim, ledger)));
      QuotaLedger copy = ledger.copy();
      copy.addStopping(NIGHT, ONE_GPU);
      assertTrue(ledger.hasOtherBorrower(DESK), "a copy leaves the ledger as it is");
      ledger = copy;
    }
    assertEquals(
        "NOT_MORE_URGENT", verdict(QuotaPreemptionRules.evaluate(preemptor, victim, ledger)));
    assertFalse(ledger.hasOtherBorrower(DESK));
  }

  /** A gang counts whole: where a part of it is guaranteed it comes after what is borrowed. */
  @Test
  void aGangThatIsPartlyGuaranteedComesLater() {
    Preemptor preemptor = preemptor(JobKind.SERVICE, Priority.LOW, true, true);
    PreemptionVictim gang =
        new PreemptionVictim(NIGHT, JobKind.GANG, Priority.HIGH, ONE_GPU.times(4));
    assertEquals(
        "GUARANTEE BORROWED_BATCH",
        verdict(QuotaPreemptionRules.evaluate(preemptor, gang, ledger(4, 8))));
    assertEquals(
        "GUARANTEE PARTLY_BORROWED_BATCH",
        verdict(QuotaPreemptionRules.evaluate(preemptor, gang, ledger(4, 7))));
    assertEquals(
        "NOT_MORE_URGENT", verdict(QuotaPreemptionRules.evaluate(preemptor, gang, ledger(4, 4))));
    Preemptor beyond = preemptor(JobKind.SERVICE, Priority.PRODUCTION, false, true);
    assertEquals(
        "LENDER_AT_GUARANTEE", verdict(QuotaPreemptionRules.evaluate(beyond, gang, ledger(4, 7))));
  }

  /** Six are used and one is promised of eight: one more is covered, two are not. */
  @Test
  void claimedCapacityCountsForTheGuarantee() {
    TeamUsage desk = ledger(4, 8).usage(DESK);
    assertTrue(desk.canCover(ONE_GPU));
    assertFalse(desk.canCover(ONE_GPU.times(2)));
    assertFalse(desk.canCover(new QuotaAmount(0, 4)), "processors are not guaranteed to it");
    assertEquals(new QuotaAmount(2, 0), desk.shortfallWithinGuarantee());
  }

  @Test
  void aTeamWithoutAGuaranteeBorrowsAll() {
    GuaranteedQuota none = new GuaranteedQuota(0, 0);
    assertEquals(new QuotaAmount(2, 8), none.excess(new QuotaAmount(2, 8)));
    assertFalse(none.covers(QuotaAmount.NONE));
    assertTrue(none.isBorrowed(ONE_GPU, ONE_GPU));
  }

  /** Work without GPUs is no part of what a team has beyond its GPUs. */
  @Test
  void onlyWhatIsGuaranteedIsBorrowed() {
    GuaranteedQuota gpus = new GuaranteedQuota(4, 0);
    assertEquals(new QuotaAmount(2, 0), gpus.excess(new QuotaAmount(6, 100)));
    assertFalse(gpus.isBorrowed(new QuotaAmount(0, 8), new QuotaAmount(6, 100)));
    assertTrue(gpus.isMetWithout(new QuotaAmount(0, 8), new QuotaAmount(4, 100)));
    GuaranteedQuota cpus = new GuaranteedQuota(0, 16);
    assertTrue(cpus.covers(new QuotaAmount(0, 16)));
    assertFalse(cpus.covers(new QuotaAmount(1, 4)), "every GPU is borrowed");
    assertTrue(cpus.isBorrowed(new QuotaAmount(1, 4), new QuotaAmount(1, 20)));
    assertFalse(cpus.isBorrowed(new QuotaAmount(1, 4), new QuotaAmount(1, 18)));
  }
}
