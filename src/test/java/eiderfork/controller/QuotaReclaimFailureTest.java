package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Controllers and machines fail at every moment of a reclaim. A team requests its guarantee while
 * another borrows it; the moments go from before the request until the capacity is used.
 */
class QuotaReclaimFailureTest {
  private static final int FIRST_MOMENT_MS = -400;
  private static final int LAST_MOMENT_MS = 5200;
  private static final int MOMENT_STEP_MS = 350;

  /** The replicas that request their team's guarantee. */
  private static final int DESK_REPLICAS = 8;

  private static final int FAULT_DURATION_MS = 6000;

  /** What fails, and whether that may cost borrowers more tasks than are reclaimed. */
  enum Fault {
    LEADER_KILLED(false, scenario -> scenario.cluster.crashNode(scenario.leader(), 3000)),
    LEADER_KILLED_AND_BACK_AT_ONCE(
        false, scenario -> scenario.cluster.crashNode(scenario.leader(), 200)),
    LEADER_AND_NEXT_KILLED(false, QuotaReclaimFailureTest::killTwoLeaders),
    ALL_KILLED(
        false,
        scenario ->
            scenario.cluster.nodeNames().forEach(node -> scenario.cluster.crashNode(node, 1500))),
    FOUR_CHANGES(false, scenario -> changeLeaders(scenario, 4, 1400)),
    LEADER_STANDS_STILL(
        false, scenario -> scenario.cluster.freezeNode(scenario.leader(), FAULT_DURATION_MS)),
    LEADER_ISOLATED(
        false, scenario -> scenario.cluster.isolateNode(scenario.leader(), FAULT_DURATION_MS)),
    LEADER_REFUSED(
        false,
        scenario -> scenario.cluster.refuseStoreRequests(scenario.leader(), FAULT_DURATION_MS)),
    LEADER_ISOLATED_COMMANDS_LATE(true, QuotaReclaimFailureTest::isolateWithDelayedCommands),
    STATE_OUT(false, QuotaReclaimFailureTest::storeOutage),
    WRITES_LATE(
        false,
        scenario ->
            injectForFaultDuration(
                scenario, () -> scenario.cluster.lateTransactionProbability = 1)),
    ANSWERS_LOST(
        false,
        scenario ->
            injectForFaultDuration(scenario, () -> scenario.cluster.lostStoreReplyProbability = 1)),
    ANSWERS_LOST_AND_LEADER_KILLED(
        false,
        scenario -> {
          injectForFaultDuration(scenario, () -> scenario.cluster.lostStoreReplyProbability = 1);
          scenario.cluster.schedule(300, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
        }),
    REPORTS_HELD_FOR_THE_NEXT_LEADER(
        false,
        scenario -> {
          scenario.cluster.nextLeaderHeartbeatProbability = 1;
          scenario.cluster.delayNextHeartbeats(2500);
          scenario.cluster.schedule(200, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
        }),
    BORROWERS_HANG(true, scenario -> hangWorkers(scenario, 2)),
    BORROWERS_HANG_AND_LEADER_KILLED(
        true,
        scenario -> {
          hangWorkers(scenario, 2);
          scenario.cluster.schedule(500, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
        }),
    BORROWERS_DEAF(
        true,
        scenario ->
            busyMachines(scenario, 2)
                .forEach(m -> scenario.cluster.cutLinksTo(m, FAULT_DURATION_MS))),
    BORROWERS_MUTE(
        true,
        scenario ->
            busyMachines(scenario, 2)
                .forEach(m -> scenario.cluster.cutLinksFrom(m, FAULT_DURATION_MS))),
    BORROWERS_CUT_AND_LEADER_KILLED(
        true,
        scenario -> {
          busyMachines(scenario, 1).forEach(m -> scenario.cluster.cutLinksTo(m, FAULT_DURATION_MS));
          busyMachines(scenario, 1)
              .forEach(m -> scenario.cluster.cutLinksFrom(m, FAULT_DURATION_MS));
          scenario.cluster.schedule(500, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
        }),
    SAVES_HANG(
        true,
        scenario ->
            scenario
                .cluster
                .workers()
                .forEach(
                    m -> scenario.cluster.progress.machinesWithHangingSaves.add(m.machine.name()))),
    SAVES_HANG_AND_LEADER_KILLED(
        true,
        scenario -> {
          scenario
              .cluster
              .workers()
              .forEach(
                  m -> scenario.cluster.progress.machinesWithHangingSaves.add(m.machine.name()));
          scenario.cluster.schedule(500, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
        });

    /** Machines may lose tasks, or not answer, so that others are preempted in their place. */
    final boolean canMachinesFail;

    final Consumer<QuotaCluster> inject;

    Fault(boolean canMachinesFail, Consumer<QuotaCluster> inject) {
      this.canMachinesFail = canMachinesFail;
      this.inject = inject;
    }
  }

  private static void killTwoLeaders(QuotaCluster scenario) {
    scenario.cluster.crashNode(scenario.leader(), 4000);
    scenario.cluster.schedule(2500, () -> scenario.cluster.crashNode(scenario.leader(), 3000));
  }

  private static void changeLeaders(QuotaCluster scenario, int times, long eachMs) {
    for (int i = 0; i < times; i++) {
      scenario.cluster.schedule(
          i * eachMs, () -> scenario.cluster.crashNode(scenario.leader(), 400));
    }
  }

  /** Commands of the isolated leader arrive after those of the next one. */
  private static void isolateWithDelayedCommands(QuotaCluster scenario) {
    scenario.cluster.commandDelayMs = 2500;
    scenario.cluster.isolateNode(scenario.leader(), FAULT_DURATION_MS);
    scenario.cluster.schedule(FAULT_DURATION_MS, () -> scenario.cluster.commandDelayMs = 0);
  }

  private static void storeOutage(QuotaCluster scenario) {
    scenario.cluster.store.startOutage(scenario.cluster.nowMs);
    scenario.cluster.schedule(
        FAULT_DURATION_MS, () -> scenario.cluster.store.endOutage(scenario.cluster.nowMs));
  }

  private static void injectForFaultDuration(QuotaCluster scenario, Runnable begin) {
    begin.run();
    scenario.cluster.schedule(
        FAULT_DURATION_MS,
        () -> {
          scenario.cluster.lateTransactionProbability = 0;
          scenario.cluster.lostStoreReplyProbability = 0;
        });
  }

  private static List<String> busyMachines(QuotaCluster scenario, int machines) {
    return scenario.cluster.workers().stream()
        .filter(worker -> !worker.taskIds().isEmpty())
        .limit(machines)
        .map(worker -> worker.machine.name())
        .toList();
  }

  private static void hangWorkers(QuotaCluster scenario, int machines) {
    List<FakeWorker> hung = scenario.cluster.workers().stream().limit(machines).toList();
    hung.forEach(worker -> worker.isHanging = true);
    scenario.cluster.schedule(
        FAULT_DURATION_MS, () -> hung.forEach(worker -> worker.isHanging = false));
  }

  /** All moments at which a fault is injected. */
  private static List<Integer> moments() {
    List<Integer> moments = new ArrayList<>();
    for (int ms = FIRST_MOMENT_MS; ms <= LAST_MOMENT_MS; ms += MOMENT_STEP_MS) {
      moments.add(ms);
    }
    return moments;
  }

  private static QuotaCluster runWithFault(Fault fault, int afterMs, double checkpointS) {
    QuotaCluster scenario = QuotaCluster.withBorrowing(7 + afterMs);
    scenario.fillWithNightArray(400, checkpointS);
    long requestAtMs = Math.max(0, -FIRST_MOMENT_MS);
    scenario.cluster.schedule(
        requestAtMs,
        () -> scenario.submit(QuotaCluster.replicas(2, DESK_REPLICAS, QuotaCluster.DESK)));
    scenario.cluster.schedule(
        requestAtMs + afterMs,
        () -> {
          scenario.guaranteeChecker.expectDisruption(FAULT_DURATION_MS + 4000);
          fault.inject.accept(scenario);
        });
    scenario.cluster.run(FAULT_DURATION_MS / 1000.0 + 36);
    return scenario;
  }

  private static void assertInvariants(Fault fault, QuotaCluster scenario, String when) {
    assertEquals(List.of(), scenario.cluster.checker.violations, when);
    assertEquals(
        DESK_REPLICAS, scenario.cluster.checker.runningTasks("run-000002"), () -> when + ": desk");
    assertEquals(
        16 - DESK_REPLICAS,
        scenario.cluster.checker.runningTasks("run-000001"),
        () -> when + ": night");
    assertEquals(List.of(), scenario.guaranteeChecker.unexplained, when);
    if (!fault.canMachinesFail) {
      assertEquals(0, scenario.cluster.progress.interruptedSaves, () -> when + ": saves cut short");
      assertEquals(DESK_REPLICAS, scenario.cluster.progress.stopCount(), () -> when + ": stops");
    }
    long mostStops = fault.canMachinesFail ? 2 : 1;
    assertTrue(
        scenario.cluster.progress.maxStopsPerTask() <= mostStops,
        () -> when + ": stops of one task");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void whateverFailsTheTeamGetsItsGuaranteeAndNoTaskIsStoppedTwice(Fault fault) {
    for (int afterMs : moments()) {
      assertInvariants(
          fault, runWithFault(fault, afterMs, 15), fault + " after " + afterMs + " ms");
    }
  }

  /** The same for borrowers that never save. */
  @ParameterizedTest
  @EnumSource(names = {"LEADER_KILLED", "LEADER_ISOLATED", "ANSWERS_LOST_AND_LEADER_KILLED"})
  void borrowersThatCannotSaveAreStoppedOnce(Fault fault) {
    for (int afterMs : moments()) {
      assertInvariants(fault, runWithFault(fault, afterMs, 0), fault + " after " + afterMs + " ms");
    }
  }

  /** Members of the version before, which has no lending, lead and are replaced. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void membersWithoutLendingAreAmongThem(int older) {
    for (int afterMs : moments()) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(40 + afterMs);
      scenario.cluster.olderVersionNodes.add("roost-" + older);
      scenario.cluster.olderVersion = ClusterVersion.BITMAP_ALLOCS - 1;
      scenario.cluster.crashNode("roost-" + older, 50);
      scenario.fillWithNightArray(400, 15);
      scenario.submit(QuotaCluster.replicas(2, DESK_REPLICAS, QuotaCluster.DESK));
      scenario.cluster.schedule(
          Math.max(0, afterMs), () -> scenario.cluster.crashNode(scenario.leader(), 1500));
      scenario.cluster.schedule(20_000, () -> scenario.cluster.olderVersionNodes.clear());
      scenario.cluster.schedule(20_050, () -> scenario.cluster.crashNode("roost-" + older, 500));
      scenario.cluster.run(50);
      String when = "roost-" + older + " older, after " + afterMs + " ms";
      assertEquals(List.of(), scenario.cluster.checker.violations, when);
      assertEquals(DESK_REPLICAS, scenario.cluster.checker.runningTasks("run-000002"), when);
    }
  }

  /** A save that outlasts its leader goes on under the next one, and nothing else is stopped. */
  @ParameterizedTest
  @EnumSource(names = {"LEADER_KILLED", "LEADER_ISOLATED", "ALL_KILLED"})
  void aSaveThatOutlastsItsLeaderGoesOn(Fault fault) {
    for (int afterMs : moments()) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(81 + afterMs);
      Job night =
          QuotaCluster.job(
              1,
              JobKind.ARRAY,
              new Resources(1, 1, 4),
              16,
              400,
              60,
              9,
              QuotaCluster.NIGHT,
              Priority.HIGH);
      scenario.submit(night);
      scenario.cluster.run(30);
      assertEquals(16, scenario.runningTasks(night));
      scenario.submit(QuotaCluster.replicas(2, DESK_REPLICAS, QuotaCluster.DESK));
      scenario.cluster.schedule(Math.max(0, afterMs), () -> fault.inject.accept(scenario));
      scenario.cluster.run(30);
      String when = fault + " after " + afterMs + " ms";
      assertEquals(List.of(), scenario.cluster.checker.violations, when);
      assertEquals(DESK_REPLICAS, scenario.cluster.checker.runningTasks("run-000002"), when);
      assertEquals(DESK_REPLICAS, scenario.cluster.progress.stopCount(), when);
      assertEquals(0, scenario.cluster.progress.interruptedSaves, when);
    }
  }

  /**
   * The peak ends while borrowers save: they get the capacity back, and nothing else is stopped.
   */
  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 300, 1000, 2500})
  void aPeakThatEndsWhileBorrowersSave(int crashAfterMs) {
    for (int endsAfterMs = 100; endsAfterMs <= LAST_MOMENT_MS; endsAfterMs += MOMENT_STEP_MS) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(11 + endsAfterMs);
      Job night = scenario.fillWithNightArray(400, 15);
      Job desk = scenario.submit(QuotaCluster.replicas(2, DESK_REPLICAS, QuotaCluster.DESK));
      scenario.cluster.schedule(endsAfterMs, () -> scenario.cluster.cancel(desk.uid()));
      if (crashAfterMs >= 0) {
        scenario.cluster.schedule(
            endsAfterMs + crashAfterMs, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
      }
      scenario.cluster.run(60);
      String when = "ends after " + endsAfterMs + " ms";
      assertEquals(List.of(), scenario.cluster.checker.violations, when);
      assertEquals(16, scenario.runningTasks(night), when);
      assertTrue(scenario.cluster.progress.stopCount() <= DESK_REPLICAS, () -> when + ": stops");
      assertEquals(Phase.ABORTED, scenario.cluster.checker.finalPhase(desk.uid()), when);
    }
  }

  /** A borrower is cancelled while it saves; a follower confirms, and the store is unavailable. */
  @ParameterizedTest
  @ValueSource(ints = {0, 200, 500, 900, 1400, 2000, 2600, 3400})
  void aBorrowerThatIsCancelledWhileItSavesEndsInTime(int afterMs) {
    for (boolean crash : new boolean[] {false, true}) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(23 + afterMs);
      scenario
          .cluster
          .workers()
          .forEach(m -> scenario.cluster.progress.machinesWithHangingSaves.add(m.machine.name()));
      Job night = scenario.fillWithNightArray(400, 15);
      Job desk = scenario.submit(QuotaCluster.replicas(2, DESK_REPLICAS, QuotaCluster.DESK));
      scenario.cluster.schedule(
          afterMs,
          () -> {
            String follower =
                scenario.cluster.nodeNames().stream()
                    .filter(n -> !n.equals(scenario.leader()))
                    .findFirst()
                    .orElseThrow();
            scenario.cluster.cancelOnce(follower, night.uid());
          });
      scenario.cluster.schedule(
          afterMs + 400, () -> scenario.cluster.store.startOutage(scenario.cluster.nowMs));
      if (crash) {
        scenario.cluster.schedule(
            afterMs + 600, () -> scenario.cluster.crashNode(scenario.leader(), 1500));
      }
      scenario.cluster.schedule(
          afterMs + 36_000, () -> scenario.cluster.store.endOutage(scenario.cluster.nowMs));
      scenario.cluster.run(75);
      scenario.cluster.cancel(night.uid());
      scenario.cluster.run(15);
      assertEquals(List.of(), scenario.cluster.checker.violations, "after " + afterMs + " ms");
      assertEquals(0, scenario.runningTasks(night));
      assertEquals(DESK_REPLICAS, scenario.runningTasks(desk), "after " + afterMs + " ms");
    }
  }

  /** Two teams reclaim their guarantees from one borrower, and the leader ends in between. */
  @ParameterizedTest
  @ValueSource(ints = {0, 50, 300, 1000})
  void twoTeamsReclaimAtOnce(int apartMs) {
    for (int afterMs : moments()) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(31 + afterMs + apartMs);
      Job night = scenario.fillWithNightArray(400, 15);
      scenario.cluster.schedule(
          500, () -> scenario.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK)));
      scenario.cluster.schedule(
          500 + apartMs,
          () -> scenario.submit(QuotaCluster.array(3, 10, 400, 15, QuotaCluster.LAB)));
      scenario.cluster.schedule(
          500 + afterMs, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
      scenario.cluster.run(45);
      String when = "after " + afterMs + " ms";
      assertEquals(List.of(), scenario.cluster.checker.violations, when);
      assertEquals(8, scenario.cluster.checker.runningTasks("run-000002"), when);
      assertEquals(4, scenario.cluster.checker.runningTasks("run-000003"), when);
      assertEquals(4, scenario.runningTasks(night), when);
    }
  }

  /** A team lends and borrows at once: it reclaims its own quota while it holds another's. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 200, 900, 1800, 3000})
  void aTeamThatLendsAndBorrowsAtOnce(int crashAfterMs) {
    QuotaCluster scenario = QuotaCluster.withBorrowing(51);
    Job night = scenario.submit(QuotaCluster.array(1, 10, 400, 15, QuotaCluster.NIGHT));
    Job lab = scenario.submit(QuotaCluster.array(2, 6, 400, 15, QuotaCluster.LAB));
    scenario.cluster.run(25);
    assertEquals(16, scenario.runningTasks(night) + scenario.runningTasks(lab));
    Job desk = scenario.submit(QuotaCluster.replicas(3, 8, QuotaCluster.DESK));
    scenario.submit(QuotaCluster.replicas(4, 4, QuotaCluster.LAB));
    if (crashAfterMs >= 0) {
      scenario.cluster.schedule(
          crashAfterMs, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
    }
    scenario.cluster.run(40);
    ExpectedOutcome.assertNoViolations(scenario.cluster);
    assertEquals(8, scenario.runningTasks(desk));
    assertEquals(
        QuotaCluster.NIGHT_GPUS, scenario.cluster.checker.usedResources(QuotaCluster.NIGHT).gpus());
    assertEquals(
        QuotaCluster.LAB_GPUS, scenario.cluster.checker.usedResources(QuotaCluster.LAB).gpus());
  }

  /** Every team is at its limit; nothing is stopped for what could not start anyway. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 300, 1500})
  void atItsLimitATeamReclaimsNothing(int crashAfterMs) {
    QuotaCluster scenario = QuotaCluster.withBorrowing(61);
    Job desk = scenario.submit(QuotaCluster.replicas(1, 12, QuotaCluster.DESK));
    Job night = scenario.submit(QuotaCluster.array(2, 4, 400, 15, QuotaCluster.NIGHT));
    scenario.cluster.run(25);
    assertEquals(12, scenario.runningTasks(desk), "its limit");
    Job more =
        QuotaCluster.job(3, JobKind.SERVICE, 4, 0, 0, QuotaCluster.DESK, Priority.PRODUCTION);
    scenario.submit(more);
    if (crashAfterMs >= 0) {
      scenario.cluster.schedule(
          crashAfterMs, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
    }
    scenario.cluster.run(30);
    ExpectedOutcome.assertNoViolations(scenario.cluster);
    assertEquals(4, scenario.runningTasks(night));
    assertEquals(0, scenario.runningTasks(more));
    assertEquals(0, scenario.cluster.progress.stopCount());
  }

  /** A gang that borrows loses a member while it is reclaimed. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 100, 800, 2000})
  void aBorrowingGangLosesAMember(int crashAfterMs) {
    for (int afterMs = 0; afterMs <= LAST_MOMENT_MS; afterMs += MOMENT_STEP_MS) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(71 + afterMs);
      Job night = scenario.submit(QuotaCluster.array(1, 4, 400, 15, QuotaCluster.NIGHT));
      Job gang = scenario.submit(QuotaCluster.gang(2, 12, 400, 30, QuotaCluster.LAB));
      scenario.cluster.run(25);
      assertEquals(12, scenario.runningTasks(gang));
      Job desk = scenario.submit(QuotaCluster.replicas(3, 8, QuotaCluster.DESK));
      scenario.cluster.schedule(
          afterMs,
          () -> {
            List<FakeWorker> members = scenario.workersWith(gang, TaskStatus.State.RUNNING);
            if (!members.isEmpty()) {
              scenario.cluster.failMachine(members.get(0).machine.name());
            }
          });
      if (crashAfterMs >= 0) {
        scenario.cluster.schedule(
            afterMs + crashAfterMs, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
      }
      scenario.cluster.run(70);
      String when = "after " + afterMs + " ms";
      assertEquals(List.of(), scenario.cluster.checker.violations, when);
      assertEquals(8, scenario.runningTasks(desk), when);
      assertEquals(4, scenario.runningTasks(night), when);
    }
  }
}
