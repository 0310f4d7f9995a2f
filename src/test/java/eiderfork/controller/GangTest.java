package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.MachineKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a gang starts, saves and ends as a whole, also if some of its tasks fail. */
class GangTest {
  private final SimulatedCluster cluster = new SimulatedCluster(11);
  private final List<Job> jobs = new ArrayList<>();

  /**
   * Starts a service, and waits until machines of both zones are up and every node knows that all
   * others run its version.
   */
  private void startServiceAndWaitForMachines() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    cluster.run(30);
  }

  private Job submit(Job job) {
    cluster.submit(job);
    jobs.add(job);
    return job;
  }

  private List<FakeWorker> workersWith(Job job) {
    return cluster.workers().stream()
        .filter(
            worker ->
                !worker.isDead
                    && worker.taskIds().stream().anyMatch(id -> id.jobUid().equals(job.uid())))
        .sorted(Comparator.comparing(worker -> worker.machine.name()))
        .toList();
  }

  private boolean hasTaskInState(Job job, TaskStatus.State state) {
    return cluster.workers().stream()
        .flatMap(worker -> worker.tasks().stream())
        .anyMatch(task -> task.attempt.task().jobUid().equals(job.uid()) && task.state == state);
  }

  private void assertAllServed() {
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @Test
  void gangStartsAndCompletesAsAWhole() {
    startServiceAndWaitForMachines();
    Job gang = submit(TestFixtures.gang(2, 6, 2, 6, true));
    cluster.run(15);
    assertEquals(1, cluster.gangs.startCount);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertAllServed();
  }

  @Test
  void gangsThatDoNotFitReserveNothingAndDoNotDeadlock() {
    cluster.cloud.defaultStock = 1;
    cluster.cloud.types = cluster.cloud.types.subList(1, 2);
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 0));
    cluster.run(25);
    // There are two machines of eight CPUs for the gangs; a replica uses one of these CPUs.
    for (int i = 2; i <= 5; i++) {
      submit(TestFixtures.gang(i, 6, 1, 5, true));
    }
    cluster.run(4);
    for (Job gang : jobs.subList(1, jobs.size())) {
      long running = cluster.checker.runningTasks(gang.uid());
      assertTrue(running == 0 || running == 6, running + " tasks of a gang run");
    }
    assertAllServed();
    assertEquals(4, cluster.gangs.startCount, "starts of all gangs");
  }

  /** The best machine for one task may be in a zone that has no capacity for the other tasks. */
  @Test
  void singleZoneGangIsPlacedInAZoneThatFitsAllItsTasks() {
    for (String zone : List.of("a", "b")) {
      cluster.cloud.stockByKind.put(new MachineKind("g4", zone, false), zone.equals("a") ? 1 : 3);
      cluster.cloud.stockByKind.put(new MachineKind("g4", zone, true), 0);
      cluster.cloud.stockByKind.put(new MachineKind("c8", zone, false), 0);
      cluster.cloud.stockByKind.put(new MachineKind("c8", zone, true), 0);
    }
    submit(TestFixtures.job(1, JobKind.SERVICE, 4, 3));
    cluster.run(25);
    assertEquals(4, cluster.workers().size());
    Job gang = submit(TestFixtures.gang(2, 5, 5, 4, true));
    cluster.run(12);
    assertTrue(
        cluster.checker.allTasksCompleted(gang.uid()),
        "the gang did not complete in the zone with three machines");
    assertAllServed();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 200, 300, 500, 700, 900, 1200, 1600, 2500})
  void leaderCrashDuringGangStartDoesNotRestartTheGang(int crashAfterMs) {
    startServiceAndWaitForMachines();
    Job gang = submit(TestFixtures.gang(2, 6, 2, 8, true));
    cluster.schedule(crashAfterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(25);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertAllServed();
    assertEquals(1, cluster.gangs.startCount);
  }

  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 300, 1000, 3000, 5000, 9000, 10_500, 12_000})
  void gangThatLosesAMachineRestartsFromItsCheckpoint(int crashAfterMs) {
    startServiceAndWaitForMachines();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 12, true));
    cluster.run(6);
    assertEquals(1, cluster.gangs.startCount);
    cluster.failMachine(workersWith(gang).get(0).machine.name());
    if (crashAfterMs >= 0) {
      cluster.schedule(crashAfterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    }
    cluster.run(45);
    assertEquals(2, cluster.gangs.startCount);
    assertTrue(cluster.gangs.savedProgressMs.get(gang.uid()) >= 2000);
    assertAllServed();
  }

  /**
   * No task of the next attempt starts while a hung machine may resume, neither in the same zone
   * nor in another one.
   */
  @ParameterizedTest
  @ValueSource(ints = {3000, 7000, 9500, 10_500, 14_000, 25_000})
  void nextAttemptDoesNotStartWhileAHungTaskMayResume(int hangMs) {
    startServiceAndWaitForMachines();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 12, true));
    cluster.run(6);
    FakeWorker hungWorker = workersWith(gang).get(0);
    hungWorker.isHanging = true;
    cluster.schedule(hangMs, () -> hungWorker.isHanging = false);
    cluster.run(70);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertAllServed();
  }

  /**
   * A member fails, and the leader crashes, so that its knowledge of the failure is lost. The next
   * leader must not wait for that member.
   */
  @Test
  void newLeaderStopsRemainingTasksOfAnIncompleteGang() {
    startServiceAndWaitForMachines();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 30, true));
    cluster.run(6);
    FakeWorker failingWorker = workersWith(gang).get(0);
    cluster.failingMachines.add(failingWorker.machine.name());
    failingWorker.tasks().stream()
        .filter(task -> task.attempt.task().jobUid().equals(gang.uid()))
        .findFirst()
        .ifPresent(task -> failingWorker.end(task, TaskStatus.Cause.ERROR));
    cluster.schedule(600, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(60);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertAllServed();
  }

  /**
   * A gang on a machine with a termination notice saves its progress if all of its tasks receive
   * the stop command in time.
   */
  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 100, 300, 600, 1200})
  void gangWithATerminationNoticeSavesAsAWhole(int crashAfterMs) {
    startServiceAndWaitForMachines();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 25, true, "blue", true));
    cluster.run(6);
    assertEquals(1, cluster.gangs.startCount);
    FakeWorker terminatingWorker = workersWith(gang).get(0);
    terminatingWorker.terminationNoticeS = 12.0;
    terminatingWorker.hasUnsentChanges = true;
    if (crashAfterMs >= 0) {
      cluster.schedule(crashAfterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    }
    cluster.schedule(12_000, () -> cluster.failMachine(terminatingWorker.machine.name()));
    cluster.run(60);
    assertEquals(1, cluster.gangs.savedGangs);
    assertTrue(
        cluster.gangs.savedProgressMs.get(gang.uid()) % 2000 != 0,
        "only the last regular checkpoint was saved");
    assertAllServed();
  }

  /**
   * If the notice is shorter than a save takes, running on loses no more progress than stopping,
   * and the gang may complete before the machine is terminated.
   */
  @Test
  void gangIsNotStoppedIfTheNoticeIsTooShortToSave() {
    startServiceAndWaitForMachines();
    Job gang = submit(TestFixtures.gang(2, 4, 4, 7, true, "blue", true));
    cluster.run(4);
    FakeWorker terminatingWorker = workersWith(gang).get(0);
    terminatingWorker.terminationNoticeS = 0.5;
    terminatingWorker.hasUnsentChanges = true;
    cluster.run(8);
    assertEquals(1, cluster.gangs.startCount);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 300, 600, 900, 1500, 4000, 6500, 8000})
  void cancelledGangStopsWithinFourSeconds(int cancelAfterMs) {
    startServiceAndWaitForMachines();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 6, true));
    cluster.schedule(cancelAfterMs, () -> cluster.cancel(gang.uid()));
    cluster.run(cancelAfterMs / 1000.0 + 4);
    assertEquals(0, cluster.checker.runningTasks(gang.uid()));
    assertTrue(cluster.checker.finalPhase(gang.uid()) != null);
    assertAllServed();
  }

  /**
   * The completion of one task is known, and the machine of another is lost before it reports: the
   * whole gang is done, because its tasks end together.
   */
  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 200, 600, 1500})
  void gangIsDoneOnceOneTaskIsDone(int crashAfterMs) {
    startServiceAndWaitForMachines();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 6, true));
    cluster.run(5);
    FakeWorker cutOffWorker = workersWith(gang).get(0);
    cluster.cutLinksFrom(cutOffWorker.machine.name(), 60_000);
    cluster.cutLinksTo(cutOffWorker.machine.name(), 60_000);
    cluster.run(3);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    if (crashAfterMs >= 0) {
      cluster.schedule(crashAfterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    }
    cluster.run(9);
    cluster.queryRandomNode(gang.uid());
    cluster.run(2);
    assertEquals(Phase.DONE, cluster.checker.finalPhase(gang.uid()));
    assertEquals(1, cluster.gangs.startCount);
  }

  /**
   * The red team may use ten GPUs, and its service uses six: all of a gang that needs six waits
   * until there is quota for the whole gang.
   */
  @Test
  void teamLimitAppliesToTheWholeGang() {
    Job service =
        submit(TestFixtures.job(1, JobKind.SERVICE, 6, 1, "red", Priority.HIGH, false, false));
    cluster.run(25);
    Job gang = submit(TestFixtures.gang(2, 6, 1, 4, false, "red", false));
    cluster.run(5);
    assertEquals(0, cluster.checker.runningTasks(gang.uid()));
    cluster.cancel(service.uid());
    cluster.run(12);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertAllServed();
  }

  @Test
  void gangThatNeedsMoreThanItsTeamsLimitIsRefused() {
    Job gang = TestFixtures.gang(2, 11, 1, 4, false, "red", false);
    cluster.run(8);
    cluster.submit(gang);
    cluster.run(4);
    assertTrue(cluster.checker.wasRefused(gang.uid()));
  }

  /** Arrays are preempted for a gang only if the whole gang fits afterwards. */
  @Test
  void arraysArePreemptedOnlyIfTheWholeGangFits() {
    cluster.cloud.defaultStock = 1;
    cluster.cloud.types = cluster.cloud.types.subList(1, 2);
    Job array = submit(array(1, 4, 60));
    cluster.run(25);
    long runningBefore = cluster.checker.runningTasks(array.uid());
    assertEquals(4, runningBefore);
    Job largeGang = TestFixtures.gang(2, 40, 1, 4, true);
    cluster.submit(largeGang);
    cluster.run(5);
    assertEquals(
        runningBefore,
        cluster.checker.runningTasks(array.uid()),
        "tasks were stopped for a gang that does not fit");
    // A smaller gang behind the large one may fit, although the large one does not.
    Job gang = submit(TestFixtures.gang(3, 7, 1, 4, true));
    cluster.run(12);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
  }

  /** A gang keeps running if preempting it makes room for only a part of another gang. */
  @Test
  void gangIsNotPreemptedForPartOfAnotherGang() {
    cluster.cloud.defaultStock = 0;
    cluster.cloud.stockByKind.put(new MachineKind("c8", "a", false), 2);
    cluster.run(5);
    Job lowPriorityGang = TestFixtures.gang(1, 4, 4, 60, true);
    submit(TestFixtures.withPriority(lowPriorityGang, Priority.LOW));
    cluster.run(20);
    assertEquals(1, cluster.gangs.startCount);
    Job largeGang = TestFixtures.gang(2, 17, 1, 4, true);
    cluster.submit(largeGang);
    cluster.run(12);
    assertEquals(0, cluster.gangs.savedGangs);
    assertEquals(4, cluster.checker.runningTasks(lowPriorityGang.uid()));
    cluster.cancel(largeGang.uid());
    assertAllServed();
    assertEquals(1, cluster.gangs.startCount);
  }

  /**
   * A gang is preempted as a whole for work of higher priority, and resumes from its checkpoint.
   */
  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 150, 400, 900, 1600})
  void gangPreemptedForAnUrgentServiceSavesAsAWhole(int crashAfterMs) {
    cluster.cloud.types = cluster.cloud.types.subList(1, 2);
    cluster.cloud.defaultStock = 0;
    cluster.cloud.stockByKind.put(new MachineKind("c8", "a", false), 2);
    cluster.run(5);
    Job gang = submit(TestFixtures.gang(1, 4, 4, 25, true));
    cluster.run(20);
    assertEquals(1, cluster.gangs.startCount);
    Job urgent =
        TestFixtures.job(2, JobKind.SERVICE, 1, 0, "blue", Priority.PRODUCTION, false, false);
    submit(TestFixtures.withTaskShape(urgent, new Resources(6, 0, 4), 0, "c8"));
    if (crashAfterMs >= 0) {
      cluster.schedule(crashAfterMs, () -> cluster.crashNode(cluster.leader(), 2000));
    }
    cluster.run(15);
    assertEquals(1, cluster.checker.runningTasks(urgent.uid()));
    assertEquals(0, cluster.checker.runningTasks(gang.uid()));
    assertEquals(1, cluster.gangs.savedGangs);
    cluster.cancel(urgent.uid());
    assertAllServed();
    assertEquals(2, cluster.gangs.startCount);
  }

  private static Job array(int number, int tasks, double runS) {
    Job template =
        TestFixtures.job(number, JobKind.ARRAY, tasks, 0, "blue", Priority.LOW, false, true);
    return TestFixtures.withTaskShape(template, new Resources(7, 0, 4), runS, "c8");
  }

  /**
   * All faults that the protocol tolerates occur at the same time, while gangs are submitted and
   * cancelled.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void invariantsHoldUnderCombinedFaults(long seed) {
    SimulatedCluster faultyCluster = new SimulatedCluster(seed);
    ExpectedOutcome.assertAllJobsServed(faultyCluster, play(faultyCluster, seed));
  }

  /** Runs this seed's history of gangs with faults, and returns the gangs. */
  static List<Job> play(SimulatedCluster cluster, long seed) {
    List<Job> gangs = new ArrayList<>();
    cluster.lossProbability = 0.01;
    cluster.duplicateProbability = 0.02;
    cluster.lateTransactionProbability = 0.05;
    cluster.lostStoreReplyProbability = 0.05;
    cluster.repeatedHeartbeatProbability = 0.1;
    cluster.nextLeaderHeartbeatProbability = 0.1;
    cluster.commandDelayMs = seed % 3 * 900;
    for (int i = 1; i <= 14; i++) {
      boolean red = i % 5 == 0;
      Job gang =
          TestFixtures.gang(
              i,
              2 + i % 6,
              red ? 1 : 1 + i % 4,
              3 + i,
              i % 2 == 0,
              red ? "red" : "blue",
              i % 3 == 0);
      gangs.add(gang);
      cluster.schedule(4000 + i * 4000L, () -> cluster.submit(gang));
      if (i % 4 == 0) {
        cluster.schedule(6000 + i * 4500L, () -> cluster.cancel(gang.uid()));
      }
    }
    for (int i = 0; i < 10; i++) {
      int kind = (int) ((i + seed) % 6);
      cluster.schedule(12_000 + i * 6500L, () -> injectFault(cluster, kind));
    }
    cluster.run(85);
    return gangs;
  }

  private static void injectFault(SimulatedCluster cluster, int kind) {
    String leader = cluster.leader() == null ? "roost-0" : cluster.leader();
    List<FakeWorker> busy =
        cluster.workers().stream().filter(worker -> !worker.taskIds().isEmpty()).toList();
    switch (kind) {
      case 0 -> cluster.crashNode(leader, 400);
      case 1 ->
          busy.stream()
              .limit(1)
              .forEach(
                  worker -> {
                    worker.isHanging = true;
                    cluster.schedule(7000, () -> worker.isHanging = false);
                  });
      case 2 ->
          busy.stream().limit(1).forEach(worker -> cluster.failMachine(worker.machine.name()));
      case 3 ->
          busy.stream().limit(2).forEach(worker -> cluster.cutLinksTo(worker.machine.name(), 9000));
      case 4 ->
          busy.stream()
              .limit(2)
              .forEach(worker -> cluster.cutLinksFrom(worker.machine.name(), 9000));
      default -> {
        cluster.refuseStoreRequests(leader, 6000);
        cluster.delayNextHeartbeats(4000);
      }
    }
  }

  /** During a store outage the leader makes no decisions, and a running gang keeps running. */
  @Test
  void gangKeepsRunningDuringAStoreOutage() {
    startServiceAndWaitForMachines();
    Job gang = submit(TestFixtures.gang(2, 6, 2, 15, true));
    cluster.run(5);
    cluster.store.startOutage(cluster.nowMs);
    cluster.run(20);
    cluster.store.endOutage(cluster.nowMs);
    cluster.run(6);
    assertEquals(1, cluster.gangs.startCount);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertFalse(hasTaskInState(gang, TaskStatus.State.RUNNING));
  }
}
