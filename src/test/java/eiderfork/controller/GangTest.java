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

/** Gangs run whole or not at all, whatever happens to a part of them. */
class GangTest {
  private final SimulatedCluster cluster = new SimulatedCluster(11);
  private final List<Job> jobs = new ArrayList<>();

  /** Machines of both zones are up, and every node knows that all others run this version. */
  private void startReferenceService() {
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
                    && worker.taskIds().stream().anyMatch(t -> t.jobUid().equals(job.uid())))
        .sorted(Comparator.comparing(worker -> worker.machine.name()))
        .toList();
  }

  private boolean anyTask(Job job, TaskStatus.State state) {
    return cluster.workers().stream()
        .flatMap(worker -> worker.tasks().stream())
        .anyMatch(t -> t.attempt.task().jobUid().equals(job.uid()) && t.state == state);
  }

  private void assertAllServed() {
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  @Test
  void aGangStartsAndEndsWhole() {
    startReferenceService();
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
    // Two machines of eight processors, one of which a replica holds, are there for either.
    for (int i = 2; i <= 5; i++) {
      submit(TestFixtures.gang(i, 6, 1, 5, true));
    }
    cluster.run(4);
    for (Job gang : jobs.subList(1, jobs.size())) {
      long running = cluster.checker.runningTasks(gang.uid());
      assertTrue(running == 0 || running == 6, running + " of a gang hold room");
    }
    assertAllServed();
    assertEquals(4, cluster.gangs.startCount, "none was broken off");
  }

  /** The best machine for one task may be in a zone without capacity for the others. */
  @Test
  void singleZoneGangIsPlacedWhereAllOfItFits() {
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
        cluster.checker.allTasksCompleted(gang.uid()), "three machines of the one zone hold it");
    assertAllServed();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 200, 300, 500, 700, 900, 1200, 1600, 2500})
  void leaderCrashDuringTheStartOfAGangChangesNothing(int afterMs) {
    startReferenceService();
    Job gang = submit(TestFixtures.gang(2, 6, 2, 8, true));
    cluster.schedule(afterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(25);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertAllServed();
    assertEquals(1, cluster.gangs.startCount);
  }

  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 300, 1000, 3000, 5000, 9000, 10_500, 12_000})
  void gangThatLosesAMachineRestartsFromItsCheckpoint(int crashAfterMs) {
    startReferenceService();
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
   * While a hung machine may resume, no task of the next attempt starts, here or in another zone.
   */
  @ParameterizedTest
  @ValueSource(ints = {3000, 7000, 9500, 10_500, 14_000, 25_000})
  void hungTaskCountsUntilItsLeaseHasExpired(int hangMs) {
    startReferenceService();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 12, true));
    cluster.run(6);
    FakeWorker hung = workersWith(gang).get(0);
    hung.isHanging = true;
    cluster.schedule(hangMs, () -> hung.isHanging = false);
    cluster.run(70);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertAllServed();
  }

  /** What the leader knew of a lost member goes with it; its successor must not wait for it. */
  @Test
  void newLeaderStopsTheRestOfABrokenGang() {
    startReferenceService();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 30, true));
    cluster.run(6);
    FakeWorker refusing = workersWith(gang).get(0);
    cluster.failingMachines.add(refusing.machine.name());
    refusing.tasks().stream()
        .filter(t -> t.attempt.task().jobUid().equals(gang.uid()))
        .findFirst()
        .ifPresent(t -> refusing.end(t, TaskStatus.Cause.ERROR));
    cluster.schedule(600, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(60);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertAllServed();
  }

  /** A gang that has to leave a machine saves, if all of its tasks receive that in time. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 100, 300, 600, 1200})
  void gangWithATerminationNoticeIsSavedAsAWhole(int crashAfterMs) {
    startReferenceService();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 25, true, "blue", true));
    cluster.run(6);
    assertEquals(1, cluster.gangs.startCount);
    FakeWorker noticed = workersWith(gang).get(0);
    noticed.terminationNoticeS = 12.0;
    noticed.hasUnsentChanges = true;
    if (crashAfterMs >= 0) {
      cluster.schedule(crashAfterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    }
    cluster.schedule(12_000, () -> cluster.failMachine(noticed.machine.name()));
    cluster.run(60);
    assertEquals(1, cluster.gangs.savedGangs);
    assertTrue(
        cluster.gangs.savedProgressMs.get(gang.uid()) % 2000 != 0, "not only the checkpoint");
    assertAllServed();
  }

  /** With less time than it takes to save, going on loses no more and may end before. */
  @Test
  void gangIsNotStoppedForANoticeTooShortToSave() {
    startReferenceService();
    Job gang = submit(TestFixtures.gang(2, 4, 4, 7, true, "blue", true));
    cluster.run(4);
    FakeWorker noticed = workersWith(gang).get(0);
    noticed.terminationNoticeS = 0.5;
    noticed.hasUnsentChanges = true;
    cluster.run(8);
    assertEquals(1, cluster.gangs.startCount);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 300, 600, 900, 1500, 4000, 6500, 8000})
  void cancelledGangStopsAtOnce(int afterMs) {
    startReferenceService();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 6, true));
    cluster.schedule(afterMs, () -> cluster.cancel(gang.uid()));
    cluster.run(afterMs / 1000.0 + 4);
    assertEquals(0, cluster.checker.runningTasks(gang.uid()));
    assertTrue(cluster.checker.finalPhase(gang.uid()) != null);
    assertAllServed();
  }

  /** One task's end is known, another's machine dies before it reports it: all are done. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 200, 600, 1500})
  void gangIsDoneOnceOneTaskIs(int crashAfterMs) {
    startReferenceService();
    Job gang = submit(TestFixtures.gang(2, 6, 4, 6, true));
    cluster.run(5);
    FakeWorker unheard = workersWith(gang).get(0);
    cluster.cutLinksFrom(unheard.machine.name(), 60_000);
    cluster.cutLinksTo(unheard.machine.name(), 60_000);
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

  /** Ten GPUs at most: a gang of six waits whole until there is quota for all of it. */
  @Test
  void limitAppliesToTheWholeGang() {
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
  void aGangThatNeedsMoreThanItsTeamsLimitIsRefused() {
    Job gang = TestFixtures.gang(2, 11, 1, 4, false, "red", false);
    cluster.run(8);
    cluster.submit(gang);
    cluster.run(4);
    assertTrue(cluster.checker.wasRefused(gang.uid()));
  }

  /** Arrays are preempted for a gang only where all of it fits then. */
  @Test
  void preemptionMakesRoomForTheWholeGangOrNotAtAll() {
    cluster.cloud.defaultStock = 1;
    cluster.cloud.types = cluster.cloud.types.subList(1, 2);
    Job array = submit(array(1, 4, 60));
    cluster.run(25);
    long before = cluster.checker.runningTasks(array.uid());
    assertEquals(4, before);
    Job large = TestFixtures.gang(2, 40, 1, 4, true);
    cluster.submit(large);
    cluster.run(5);
    assertEquals(
        before, cluster.checker.runningTasks(array.uid()), "nothing is stopped for a part");
    // What the large gang could not get is no proof for a smaller one behind it.
    Job gang = submit(TestFixtures.gang(3, 7, 1, 4, true));
    cluster.run(12);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
  }

  /** A gang that could be preempted for a part of another keeps running. */
  @Test
  void noGangIsPreemptedForAPartOfAnother() {
    cluster.cloud.defaultStock = 0;
    cluster.cloud.stockByKind.put(new MachineKind("c8", "a", false), 2);
    cluster.run(5);
    Job low = TestFixtures.gang(1, 4, 4, 60, true);
    submit(TestFixtures.withPriority(low, Priority.LOW));
    cluster.run(20);
    assertEquals(1, cluster.gangs.startCount);
    Job large = TestFixtures.gang(2, 17, 1, 4, true);
    cluster.submit(large);
    cluster.run(12);
    assertEquals(0, cluster.gangs.savedGangs);
    assertEquals(4, cluster.checker.runningTasks(low.uid()));
    cluster.cancel(large.uid());
    assertAllServed();
    assertEquals(1, cluster.gangs.startCount);
  }

  /** A gang is preempted as a whole for more urgent work, and resumes from its checkpoint. */
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

  /** Everything that the protocol lets go wrong, at once, while gangs come and are cancelled. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void invariantsHoldUnderCombinedFaults(long seed) {
    SimulatedCluster troubled = new SimulatedCluster(seed);
    ExpectedOutcome.assertAllJobsServed(troubled, play(troubled, seed));
  }

  /** Plays this seed's history of gangs under faults, and returns the gangs. */
  static List<Job> play(SimulatedCluster troubled, long seed) {
    List<Job> gangs = new ArrayList<>();
    troubled.lossProbability = 0.01;
    troubled.duplicateProbability = 0.02;
    troubled.lateTransactionProbability = 0.05;
    troubled.lostStoreReplyProbability = 0.05;
    troubled.repeatedHeartbeatProbability = 0.1;
    troubled.nextLeaderHeartbeatProbability = 0.1;
    troubled.commandDelayMs = seed % 3 * 900;
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
      troubled.schedule(4000 + i * 4000L, () -> troubled.submit(gang));
      if (i % 4 == 0) {
        troubled.schedule(6000 + i * 4500L, () -> troubled.cancel(gang.uid()));
      }
    }
    for (int i = 0; i < 10; i++) {
      int kind = (int) ((i + seed) % 6);
      troubled.schedule(12_000 + i * 6500L, () -> injectFault(troubled, kind));
    }
    troubled.run(85);
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

  /** Without the store nothing is decided, and a running gang keeps running. */
  @Test
  void gangKeepsRunningDuringAnOutage() {
    startReferenceService();
    Job gang = submit(TestFixtures.gang(2, 6, 2, 15, true));
    cluster.run(5);
    cluster.store.startOutage(cluster.nowMs);
    cluster.run(20);
    cluster.store.endOutage(cluster.nowMs);
    cluster.run(6);
    assertEquals(1, cluster.gangs.startCount);
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertFalse(anyTask(gang, TaskStatus.State.RUNNING));
  }
}
