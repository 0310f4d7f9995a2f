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
 * Tests failures of controllers and machines at all stages of a reclaim. A team requests its
 * guarantee while another borrows it; the times of the fault range from before the request until
 * the team uses the capacity.
 */
class QuotaReclaimFailureTest {
  private static final int FIRST_FAULT_MS = -400;
  private static final int LAST_FAULT_MS = 5200;
  private static final int FAULT_STEP_MS = 350;

  /** The number of replicas that request their team's guarantee. */
  private static final int DESK_REPLICAS = 8;

  private static final int FAULT_DURATION_MS = 6000;

  /** The faults, and whether more tasks than are reclaimed may be stopped because of them. */
  enum Fault {
    LEADER_CRASH(false, scenario -> scenario.cluster.crashNode(scenario.leader(), 3000)),
    LEADER_CRASH_AND_QUICK_RESTART(
        false, scenario -> scenario.cluster.crashNode(scenario.leader(), 200)),
    LEADER_AND_SUCCESSOR_CRASH(false, QuotaReclaimFailureTest::crashTwoLeaders),
    ALL_CONTROLLERS_CRASH(
        false,
        scenario ->
            scenario.cluster.nodeNames().forEach(node -> scenario.cluster.crashNode(node, 1500))),
    FOUR_LEADER_CRASHES(false, scenario -> crashLeaders(scenario, 4, 1400)),
    LEADER_FROZEN(
        false, scenario -> scenario.cluster.freezeNode(scenario.leader(), FAULT_DURATION_MS)),
    LEADER_ISOLATED(
        false, scenario -> scenario.cluster.isolateNode(scenario.leader(), FAULT_DURATION_MS)),
    LEADER_REFUSED_BY_STORE(
        false,
        scenario -> scenario.cluster.refuseStoreRequests(scenario.leader(), FAULT_DURATION_MS)),
    LEADER_ISOLATED_AND_COMMANDS_DELAYED(true, QuotaReclaimFailureTest::isolateWithDelayedCommands),
    STORE_OUTAGE(false, QuotaReclaimFailureTest::storeOutage),
    LATE_TRANSACTIONS(
        false,
        scenario ->
            injectForFaultDuration(
                scenario, () -> scenario.cluster.lateTransactionProbability = 1)),
    STORE_REPLIES_LOST(
        false,
        scenario ->
            injectForFaultDuration(scenario, () -> scenario.cluster.lostStoreReplyProbability = 1)),
    STORE_REPLIES_LOST_AND_LEADER_CRASH(
        false,
        scenario -> {
          injectForFaultDuration(scenario, () -> scenario.cluster.lostStoreReplyProbability = 1);
          scenario.cluster.schedule(300, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
        }),
    HEARTBEATS_DELAYED_UNTIL_NEXT_LEADER(
        false,
        scenario -> {
          scenario.cluster.nextLeaderHeartbeatProbability = 1;
          scenario.cluster.delayNextHeartbeats(2500);
          scenario.cluster.schedule(200, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
        }),
    WORKERS_HANG(true, scenario -> hangWorkers(scenario, 2)),
    WORKERS_HANG_AND_LEADER_CRASH(
        true,
        scenario -> {
          hangWorkers(scenario, 2);
          scenario.cluster.schedule(500, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
        }),
    LINKS_TO_WORKERS_CUT(
        true,
        scenario ->
            busyMachines(scenario, 2)
                .forEach(machine -> scenario.cluster.cutLinksTo(machine, FAULT_DURATION_MS))),
    LINKS_FROM_WORKERS_CUT(
        true,
        scenario ->
            busyMachines(scenario, 2)
                .forEach(machine -> scenario.cluster.cutLinksFrom(machine, FAULT_DURATION_MS))),
    WORKER_ISOLATED_AND_LEADER_CRASH(
        true,
        scenario -> {
          busyMachines(scenario, 1)
              .forEach(machine -> scenario.cluster.cutLinksTo(machine, FAULT_DURATION_MS));
          busyMachines(scenario, 1)
              .forEach(machine -> scenario.cluster.cutLinksFrom(machine, FAULT_DURATION_MS));
          scenario.cluster.schedule(500, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
        }),
    SAVES_HANG(
        true,
        scenario ->
            scenario
                .cluster
                .workers()
                .forEach(
                    worker ->
                        scenario.cluster.progress.machinesWithHangingSaves.add(
                            worker.machine.name()))),
    SAVES_HANG_AND_LEADER_CRASH(
        true,
        scenario -> {
          scenario
              .cluster
              .workers()
              .forEach(
                  worker ->
                      scenario.cluster.progress.machinesWithHangingSaves.add(
                          worker.machine.name()));
          scenario.cluster.schedule(500, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
        });

    /**
     * True if machines may lose tasks, or not respond, so that other tasks are preempted in place
     * of theirs.
     */
    final boolean mayStopMoreTasks;

    final Consumer<QuotaCluster> inject;

    Fault(boolean mayStopMoreTasks, Consumer<QuotaCluster> inject) {
      this.mayStopMoreTasks = mayStopMoreTasks;
      this.inject = inject;
    }
  }

  private static void crashTwoLeaders(QuotaCluster scenario) {
    scenario.cluster.crashNode(scenario.leader(), 4000);
    scenario.cluster.schedule(2500, () -> scenario.cluster.crashNode(scenario.leader(), 3000));
  }

  private static void crashLeaders(QuotaCluster scenario, int count, long intervalMs) {
    for (int i = 0; i < count; i++) {
      scenario.cluster.schedule(
          i * intervalMs, () -> scenario.cluster.crashNode(scenario.leader(), 400));
    }
  }

  /** Isolates the leader; its commands arrive after those of the next leader. */
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

  private static void injectForFaultDuration(QuotaCluster scenario, Runnable startFault) {
    startFault.run();
    scenario.cluster.schedule(
        FAULT_DURATION_MS,
        () -> {
          scenario.cluster.lateTransactionProbability = 0;
          scenario.cluster.lostStoreReplyProbability = 0;
        });
  }

  private static List<String> busyMachines(QuotaCluster scenario, int maxCount) {
    return scenario.cluster.workers().stream()
        .filter(worker -> !worker.taskIds().isEmpty())
        .limit(maxCount)
        .map(worker -> worker.machine.name())
        .toList();
  }

  private static void hangWorkers(QuotaCluster scenario, int maxCount) {
    List<FakeWorker> hungWorkers = scenario.cluster.workers().stream().limit(maxCount).toList();
    hungWorkers.forEach(worker -> worker.isHanging = true);
    scenario.cluster.schedule(
        FAULT_DURATION_MS, () -> hungWorkers.forEach(worker -> worker.isHanging = false));
  }

  /** Returns the times at which a fault is injected, relative to the request. */
  private static List<Integer> faultTimesMs() {
    List<Integer> timesMs = new ArrayList<>();
    for (int ms = FIRST_FAULT_MS; ms <= LAST_FAULT_MS; ms += FAULT_STEP_MS) {
      timesMs.add(ms);
    }
    return timesMs;
  }

  private static QuotaCluster runWithFault(
      Fault fault, int faultTimeMs, double checkpointIntervalS) {
    QuotaCluster scenario = QuotaCluster.withBorrowing(7 + faultTimeMs);
    scenario.fillWithNightArray(400, checkpointIntervalS);
    long requestAtMs = Math.max(0, -FIRST_FAULT_MS);
    scenario.cluster.schedule(
        requestAtMs,
        () -> scenario.submit(QuotaCluster.replicas(2, DESK_REPLICAS, QuotaCluster.DESK)));
    scenario.cluster.schedule(
        requestAtMs + faultTimeMs,
        () -> {
          scenario.guaranteeChecker.expectDisruption(FAULT_DURATION_MS + 4000);
          fault.inject.accept(scenario);
        });
    scenario.cluster.run(FAULT_DURATION_MS / 1000.0 + 36);
    return scenario;
  }

  private static void assertInvariants(Fault fault, QuotaCluster scenario, String context) {
    assertEquals(List.of(), scenario.cluster.checker.violations, context);
    assertEquals(
        DESK_REPLICAS,
        scenario.cluster.checker.runningTasks("run-000002"),
        () -> context + ": running tasks of desk");
    assertEquals(
        16 - DESK_REPLICAS,
        scenario.cluster.checker.runningTasks("run-000001"),
        () -> context + ": running tasks of night");
    assertEquals(List.of(), scenario.guaranteeChecker.unexplained, context);
    if (!fault.mayStopMoreTasks) {
      assertEquals(
          0, scenario.cluster.progress.interruptedSaves, () -> context + ": interrupted saves");
      assertEquals(
          DESK_REPLICAS, scenario.cluster.progress.stopCount(), () -> context + ": stopped tasks");
    }
    long mostStops = fault.mayStopMoreTasks ? 2 : 1;
    assertTrue(
        scenario.cluster.progress.maxStopsPerTask() <= mostStops,
        () -> context + ": stops of one task");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void teamGetsItsGuaranteeWithFewStopsUnderEachFault(Fault fault) {
    for (int faultTimeMs : faultTimesMs()) {
      assertInvariants(
          fault, runWithFault(fault, faultTimeMs, 15), fault + " after " + faultTimeMs + " ms");
    }
  }

  /** The same holds for borrowers without checkpoints, which never save. */
  @ParameterizedTest
  @EnumSource(names = {"LEADER_CRASH", "LEADER_ISOLATED", "STORE_REPLIES_LOST_AND_LEADER_CRASH"})
  void borrowersWithoutCheckpointsAreStoppedOnce(Fault fault) {
    for (int faultTimeMs : faultTimesMs()) {
      assertInvariants(
          fault, runWithFault(fault, faultTimeMs, 0), fault + " after " + faultTimeMs + " ms");
    }
  }

  /**
   * One node runs the previous version, which has no lending. It may lead until it restarts with
   * the current version after 20 s.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void teamGetsItsGuaranteeDuringAnUpgradeToLending(int olderNode) {
    for (int faultTimeMs : faultTimesMs()) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(40 + faultTimeMs);
      scenario.cluster.olderVersionNodes.add("roost-" + olderNode);
      scenario.cluster.olderVersion = ClusterVersion.BITMAP_ALLOCS - 1;
      scenario.cluster.crashNode("roost-" + olderNode, 50);
      scenario.fillWithNightArray(400, 15);
      scenario.submit(QuotaCluster.replicas(2, DESK_REPLICAS, QuotaCluster.DESK));
      scenario.cluster.schedule(
          Math.max(0, faultTimeMs), () -> scenario.cluster.crashNode(scenario.leader(), 1500));
      scenario.cluster.schedule(20_000, () -> scenario.cluster.olderVersionNodes.clear());
      scenario.cluster.schedule(
          20_050, () -> scenario.cluster.crashNode("roost-" + olderNode, 500));
      scenario.cluster.run(50);
      String context =
          "roost-" + olderNode + " runs the older version, after " + faultTimeMs + " ms";
      assertEquals(List.of(), scenario.cluster.checker.violations, context);
      assertEquals(DESK_REPLICAS, scenario.cluster.checker.runningTasks("run-000002"), context);
    }
  }

  /**
   * A save that is not complete when the leader fails continues under the next one, and no other
   * task is stopped.
   */
  @ParameterizedTest
  @EnumSource(names = {"LEADER_CRASH", "LEADER_ISOLATED", "ALL_CONTROLLERS_CRASH"})
  void saveContinuesUnderTheNextLeader(Fault fault) {
    for (int faultTimeMs : faultTimesMs()) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(81 + faultTimeMs);
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
      scenario.cluster.schedule(Math.max(0, faultTimeMs), () -> fault.inject.accept(scenario));
      scenario.cluster.run(30);
      String context = fault + " after " + faultTimeMs + " ms";
      assertEquals(List.of(), scenario.cluster.checker.violations, context);
      assertEquals(DESK_REPLICAS, scenario.cluster.checker.runningTasks("run-000002"), context);
      assertEquals(DESK_REPLICAS, scenario.cluster.progress.stopCount(), context);
      assertEquals(0, scenario.cluster.progress.interruptedSaves, context);
    }
  }

  /**
   * The demand peak ends while borrowers save: they get the capacity back, and no other task is
   * stopped.
   */
  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 300, 1000, 2500})
  void borrowersGetCapacityBackIfThePeakEndsDuringTheirSave(int crashAfterMs) {
    for (int peakEndsAfterMs = 100;
        peakEndsAfterMs <= LAST_FAULT_MS;
        peakEndsAfterMs += FAULT_STEP_MS) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(11 + peakEndsAfterMs);
      Job night = scenario.fillWithNightArray(400, 15);
      Job desk = scenario.submit(QuotaCluster.replicas(2, DESK_REPLICAS, QuotaCluster.DESK));
      scenario.cluster.schedule(peakEndsAfterMs, () -> scenario.cluster.cancel(desk.uid()));
      if (crashAfterMs >= 0) {
        scenario.cluster.schedule(
            peakEndsAfterMs + crashAfterMs,
            () -> scenario.cluster.crashNode(scenario.leader(), 2000));
      }
      scenario.cluster.run(60);
      String context = "peak ends after " + peakEndsAfterMs + " ms";
      assertEquals(List.of(), scenario.cluster.checker.violations, context);
      assertEquals(16, scenario.runningTasks(night), context);
      assertTrue(
          scenario.cluster.progress.stopCount() <= DESK_REPLICAS,
          () -> context + ": stopped tasks");
      assertEquals(Phase.ABORTED, scenario.cluster.checker.finalPhase(desk.uid()), context);
    }
  }

  /**
   * A borrower is cancelled while it saves; a follower confirms the cancellation, and then the
   * store becomes unavailable.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 200, 500, 900, 1400, 2000, 2600, 3400})
  void borrowerCancelledDuringItsSaveEndsInTime(int cancelAfterMs) {
    for (boolean crash : new boolean[] {false, true}) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(23 + cancelAfterMs);
      scenario
          .cluster
          .workers()
          .forEach(
              worker ->
                  scenario.cluster.progress.machinesWithHangingSaves.add(worker.machine.name()));
      Job night = scenario.fillWithNightArray(400, 15);
      Job desk = scenario.submit(QuotaCluster.replicas(2, DESK_REPLICAS, QuotaCluster.DESK));
      scenario.cluster.schedule(
          cancelAfterMs,
          () -> {
            String follower =
                scenario.cluster.nodeNames().stream()
                    .filter(node -> !node.equals(scenario.leader()))
                    .findFirst()
                    .orElseThrow();
            scenario.cluster.cancelOnce(follower, night.uid());
          });
      scenario.cluster.schedule(
          cancelAfterMs + 400, () -> scenario.cluster.store.startOutage(scenario.cluster.nowMs));
      if (crash) {
        scenario.cluster.schedule(
            cancelAfterMs + 600, () -> scenario.cluster.crashNode(scenario.leader(), 1500));
      }
      scenario.cluster.schedule(
          cancelAfterMs + 36_000, () -> scenario.cluster.store.endOutage(scenario.cluster.nowMs));
      scenario.cluster.run(75);
      scenario.cluster.cancel(night.uid());
      scenario.cluster.run(15);
      assertEquals(
          List.of(), scenario.cluster.checker.violations, "after " + cancelAfterMs + " ms");
      assertEquals(0, scenario.runningTasks(night));
      assertEquals(DESK_REPLICAS, scenario.runningTasks(desk), "after " + cancelAfterMs + " ms");
    }
  }

  /** Two teams reclaim their guarantees from one borrower, and the leader crashes meanwhile. */
  @ParameterizedTest
  @ValueSource(ints = {0, 50, 300, 1000})
  void twoTeamsReclaimFromOneBorrowerAtOnce(int intervalMs) {
    for (int faultTimeMs : faultTimesMs()) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(31 + faultTimeMs + intervalMs);
      Job night = scenario.fillWithNightArray(400, 15);
      scenario.cluster.schedule(
          500, () -> scenario.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK)));
      scenario.cluster.schedule(
          500 + intervalMs,
          () -> scenario.submit(QuotaCluster.array(3, 10, 400, 15, QuotaCluster.LAB)));
      scenario.cluster.schedule(
          500 + faultTimeMs, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
      scenario.cluster.run(45);
      String context = "after " + faultTimeMs + " ms";
      assertEquals(List.of(), scenario.cluster.checker.violations, context);
      assertEquals(8, scenario.cluster.checker.runningTasks("run-000002"), context);
      assertEquals(4, scenario.cluster.checker.runningTasks("run-000003"), context);
      assertEquals(4, scenario.runningTasks(night), context);
    }
  }

  /** A team both lends and borrows: it reclaims its own quota while it uses another team's. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 200, 900, 1800, 3000})
  void teamReclaimsItsQuotaWhileItBorrows(int crashAfterMs) {
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

  /** No task is stopped for a job that could not start anyway because its team is at its limit. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 300, 1500})
  void teamAtItsLimitReclaimsNothing(int crashAfterMs) {
    QuotaCluster scenario = QuotaCluster.withBorrowing(61);
    Job desk = scenario.submit(QuotaCluster.replicas(1, 12, QuotaCluster.DESK));
    Job night = scenario.submit(QuotaCluster.array(2, 4, 400, 15, QuotaCluster.NIGHT));
    scenario.cluster.run(25);
    assertEquals(12, scenario.runningTasks(desk), "running tasks at the limit");
    Job waiting =
        QuotaCluster.job(3, JobKind.SERVICE, 4, 0, 0, QuotaCluster.DESK, Priority.PRODUCTION);
    scenario.submit(waiting);
    if (crashAfterMs >= 0) {
      scenario.cluster.schedule(
          crashAfterMs, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
    }
    scenario.cluster.run(30);
    ExpectedOutcome.assertNoViolations(scenario.cluster);
    assertEquals(4, scenario.runningTasks(night));
    assertEquals(0, scenario.runningTasks(waiting));
    assertEquals(0, scenario.cluster.progress.stopCount());
  }

  /** A gang that borrows loses a member while the quota that it borrows is reclaimed. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 100, 800, 2000})
  void teamGetsItsGuaranteeIfTheBorrowingGangLosesAMember(int crashAfterMs) {
    for (int faultTimeMs = 0; faultTimeMs <= LAST_FAULT_MS; faultTimeMs += FAULT_STEP_MS) {
      QuotaCluster scenario = QuotaCluster.withBorrowing(71 + faultTimeMs);
      Job night = scenario.submit(QuotaCluster.array(1, 4, 400, 15, QuotaCluster.NIGHT));
      Job gang = scenario.submit(QuotaCluster.gang(2, 12, 400, 30, QuotaCluster.LAB));
      scenario.cluster.run(25);
      assertEquals(12, scenario.runningTasks(gang));
      Job desk = scenario.submit(QuotaCluster.replicas(3, 8, QuotaCluster.DESK));
      scenario.cluster.schedule(
          faultTimeMs,
          () -> {
            List<FakeWorker> members = scenario.workersWith(gang, TaskStatus.State.RUNNING);
            if (!members.isEmpty()) {
              scenario.cluster.failMachine(members.get(0).machine.name());
            }
          });
      if (crashAfterMs >= 0) {
        scenario.cluster.schedule(
            faultTimeMs + crashAfterMs, () -> scenario.cluster.crashNode(scenario.leader(), 2000));
      }
      scenario.cluster.run(70);
      String context = "after " + faultTimeMs + " ms";
      assertEquals(List.of(), scenario.cluster.checker.violations, context);
      assertEquals(8, scenario.runningTasks(desk), context);
      assertEquals(4, scenario.runningTasks(night), context);
    }
  }
}
