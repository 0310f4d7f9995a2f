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

/** Tests the preemption rules between teams and the ledger that they are applied to. */
class QuotaPreemptionRulesTest {
  private static final TeamId PREEMPTOR_TEAM = new TeamId("desk");
  private static final TeamId LENDER_TEAM = new TeamId("night");
  private static final QuotaAmount ONE_GPU = new QuotaAmount(1, 4);

  private static TeamUsage usage(TeamId team, double guaranteed, double used, double claimed) {
    return new TeamUsage(
        team,
        new GuaranteedQuota(guaranteed, 0),
        new QuotaAmount(used, used * 4),
        QuotaAmount.NONE,
        new QuotaAmount(claimed, 0),
        new QuotaAmount(3, 12));
  }

  private static QuotaLedger ledger(double lenderGuaranteed, double lenderUsed) {
    return new QuotaLedger(
        List.of(
            usage(PREEMPTOR_TEAM, 8, 6, 1), usage(LENDER_TEAM, lenderGuaranteed, lenderUsed, 0)));
  }

  private static Preemptor preemptor(
      JobKind kind, Priority priority, boolean withinGuarantee, boolean hasWaitedForBoot) {
    return new Preemptor(PREEMPTOR_TEAM, kind, priority, withinGuarantee, 5, hasWaitedForBoot);
  }

  private static String describe(PreemptionDecision decision) {
    return decision instanceof PreemptionDecision.Allowed allowed
        ? allowed.reason() + " " + allowed.preference()
        : ((PreemptionDecision.Refused) decision).reason().toString();
  }

  /**
   * Columns: the preemptor's kind, priority and whether it is within its guarantee; the victim's
   * kind and priority; the GPUs that the victim's team is guaranteed and uses; the expected
   * decision.
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
  void decidesByGuaranteeAndPriority(
      JobKind kind,
      Priority priority,
      boolean withinGuarantee,
      JobKind victimKind,
      Priority victimPriority,
      double lenderGuaranteed,
      double lenderUsed,
      String expected) {
    PreemptionVictim victim =
        new PreemptionVictim(LENDER_TEAM, victimKind, victimPriority, ONE_GPU);
    Preemptor preemptor = preemptor(kind, priority, withinGuarantee, true);
    QuotaLedger ledger = ledger(lenderGuaranteed, lenderUsed);
    assertEquals(expected, describe(QuotaPreemptionRules.evaluate(preemptor, victim, ledger)));
  }

  @Test
  void aReplicaIsNotReclaimedWhileANewMachineMayStillBoot() {
    PreemptionVictim replica =
        new PreemptionVictim(LENDER_TEAM, JobKind.SERVICE, Priority.LOW, ONE_GPU);
    Preemptor preemptor = preemptor(JobKind.SERVICE, Priority.HIGH, true, false);
    assertEquals(
        "REPLICA_NOT_YET",
        describe(QuotaPreemptionRules.evaluate(preemptor, replica, ledger(0, 8))));
  }

  @Test
  void withinATeamOnlyPriorityCounts() {
    PreemptionVictim own =
        new PreemptionVictim(PREEMPTOR_TEAM, JobKind.ARRAY, Priority.LOW, ONE_GPU);
    Preemptor urgent = preemptor(JobKind.SERVICE, Priority.HIGH, true, true);
    assertEquals(
        "PRIORITY BORROWED_BATCH",
        describe(QuotaPreemptionRules.evaluate(urgent, own, ledger(4, 4))));
    Preemptor same = preemptor(JobKind.SERVICE, Priority.LOW, true, true);
    assertEquals("SAME_TEAM", describe(QuotaPreemptionRules.evaluate(same, own, ledger(4, 4))));
  }

  /** With six GPUs used and four guaranteed, two tasks may be preempted but not a third. */
  @Test
  void eachVictimIsEvaluatedAfterThePreviousOnes() {
    QuotaLedger ledger = ledger(4, 6);
    Preemptor preemptor = preemptor(JobKind.SERVICE, Priority.LOW, true, true);
    PreemptionVictim victim =
        new PreemptionVictim(LENDER_TEAM, JobKind.ARRAY, Priority.HIGH, ONE_GPU);
    for (int i = 0; i < 2; i++) {
      assertEquals(
          "GUARANTEE BORROWED_BATCH",
          describe(QuotaPreemptionRules.evaluate(preemptor, victim, ledger)));
      QuotaLedger copy = ledger.copy();
      copy.addStopping(LENDER_TEAM, ONE_GPU);
      assertTrue(
          ledger.hasOtherBorrower(PREEMPTOR_TEAM),
          "changing the copy leaves the original unchanged");
      ledger = copy;
    }
    assertEquals(
        "NOT_MORE_URGENT", describe(QuotaPreemptionRules.evaluate(preemptor, victim, ledger)));
    assertFalse(ledger.hasOtherBorrower(PREEMPTOR_TEAM));
  }

  /** A gang is preempted as a whole: a partly guaranteed one comes after wholly borrowed work. */
  @Test
  void aPartlyGuaranteedGangIsPreferredLess() {
    Preemptor preemptor = preemptor(JobKind.SERVICE, Priority.LOW, true, true);
    PreemptionVictim gang =
        new PreemptionVictim(LENDER_TEAM, JobKind.GANG, Priority.HIGH, ONE_GPU.times(4));
    assertEquals(
        "GUARANTEE BORROWED_BATCH",
        describe(QuotaPreemptionRules.evaluate(preemptor, gang, ledger(4, 8))));
    assertEquals(
        "GUARANTEE PARTLY_BORROWED_BATCH",
        describe(QuotaPreemptionRules.evaluate(preemptor, gang, ledger(4, 7))));
    assertEquals(
        "NOT_MORE_URGENT", describe(QuotaPreemptionRules.evaluate(preemptor, gang, ledger(4, 4))));
    Preemptor beyondGuarantee = preemptor(JobKind.SERVICE, Priority.PRODUCTION, false, true);
    assertEquals(
        "LENDER_AT_GUARANTEE",
        describe(QuotaPreemptionRules.evaluate(beyondGuarantee, gang, ledger(4, 7))));
  }

  /** Of eight guaranteed GPUs six are used and one is claimed: one more is covered, two are not. */
  @Test
  void claimedCapacityCountsForTheGuarantee() {
    TeamUsage usage = ledger(4, 8).usage(PREEMPTOR_TEAM);
    assertTrue(usage.canCover(ONE_GPU));
    assertFalse(usage.canCover(ONE_GPU.times(2)));
    assertFalse(usage.canCover(new QuotaAmount(0, 4)), "the team has no CPU guarantee");
    assertEquals(new QuotaAmount(2, 0), usage.shortfallWithinGuarantee());
  }

  @Test
  void aTeamWithoutAGuaranteeBorrowsAllItUses() {
    GuaranteedQuota none = new GuaranteedQuota(0, 0);
    assertEquals(new QuotaAmount(2, 8), none.excess(new QuotaAmount(2, 8)));
    assertFalse(none.covers(QuotaAmount.NONE));
    assertTrue(none.isBorrowed(ONE_GPU, ONE_GPU));
  }

  /** Work without GPUs is not borrowed by a team that is guaranteed GPUs only. */
  @Test
  void onlyGuaranteedResourcesCountAsBorrowed() {
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
