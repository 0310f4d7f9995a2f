package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.message.StoreKeys;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.Priority;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Injects a single failure per test and checks its outcome. */
class SingleFailureTest {
  private final SimulatedCluster cluster = new SimulatedCluster(7);

  @AfterEach
  void assertNoViolations() {
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** Returns a worker that has tasks. */
  private FakeWorker busyWorker() {
    return cluster.workers().stream()
        .filter(worker -> !worker.taskIds().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  private Job submit(Job job) {
    cluster.submit(job);
    return job;
  }

  @Test
  void jobsOfAllKindsRunWithoutFailures() {
    Job array = submit(TestFixtures.job(1, JobKind.ARRAY, 6, 1));
    Job gang = submit(TestFixtures.job(2, JobKind.GANG, 3, 1));
    Job service = submit(TestFixtures.job(3, JobKind.SERVICE, 3, 1));
    cluster.run(40);
    assertTrue(cluster.checker.allTasksCompleted(array.uid()));
    assertTrue(cluster.checker.allTasksCompleted(gang.uid()));
    assertEquals(3, cluster.checker.runningTasks(service.uid()));
    cluster.cancel(service.uid());
    cluster.run(3);
    assertEquals(0, cluster.checker.runningTasks(service.uid()));
    cluster.run(120);
    assertTrue(cluster.cloud.liveHostCount() <= 1, "more machines than the headroom are kept");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 150, 200, 250, 300, 400, 600, 1000, 2000})
  void leaderCrashAtAnyStepOfAStartLosesNoTask(int delayMs) {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(20);
    Job job = submit(TestFixtures.job(2, JobKind.SERVICE, 2, 1));
    cluster.schedule(delayMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(40);
    assertEquals(2, cluster.checker.runningTasks(job.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 20, 60, 100, 200, 500})
  void leaderCrashAtAnyStepOfACancellationDoesNotLoseIt(int delayMs) {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    cluster.run(20);
    cluster.cancel(job.uid());
    cluster.schedule(delayMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(20);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(job.uid()));
    assertEquals(0, cluster.checker.runningTasks(job.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 200, 400, 800, 1500, 3000})
  void leaderCrashAtAnyStepOfARentLosesNoMachine(int delayMs) {
    cluster.run(3);
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    cluster.schedule(delayMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(45);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    cluster.cancel(job.uid());
    cluster.run(150);
    assertTrue(cluster.cloud.liveHostCount() <= 1, "unused machines are left running");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 250, 500, 750, 1000, 1500, 2000})
  void leaderCrashAtAnyStepOfATaskEndKeepsTheResult(int delayMs) {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(20);
    Job job = submit(TestFixtures.job(2, JobKind.ARRAY, 3, 1));
    // Tasks fetch their image for 0.7 s and run for 4 s, so the leader crashes around their end.
    cluster.schedule(4500 + delayMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(30);
    cluster.queryRandomNode(job.uid());
    cluster.run(2);
    assertEquals(Phase.DONE, cluster.checker.finalPhase(job.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 300, 600, 1000, 2000})
  void leaderCrashAtAnyStepOfAPreemptionOrAReturnLeavesNoMachineBehind(int delayMs) {
    cluster.cloud.defaultStock = 1;
    Job low = submit(TestFixtures.job(1, JobKind.ARRAY, 8, 1, "blue", Priority.LOW, false, false));
    cluster.run(12);
    Job urgent =
        submit(
            TestFixtures.job(2, JobKind.SERVICE, 2, 4, "blue", Priority.PRODUCTION, false, false));
    cluster.schedule(delayMs, () -> cluster.crashNode(cluster.leader(), 2000));
    cluster.run(30);
    assertEquals(2, cluster.checker.runningTasks(urgent.uid()));
    cluster.cancel(urgent.uid());
    cluster.cancel(low.uid());
    cluster.schedule(60_000 + delayMs, () -> cluster.crashNode(cluster.leader(), 2000));
    cluster.run(200);
    assertTrue(cluster.cloud.liveHostCount() <= 1);
  }

  @Test
  void tasksAndMachinesSurviveALeaderCrash() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    cluster.run(30);
    int startsBefore = cluster.checker.startCount;
    int returnedBefore = cluster.cloud.returnedHostCount;
    cluster.crashNode(cluster.leader(), 8000);
    cluster.run(8);
    // A new leader once returned machines that had not sent it a heartbeat yet, as if they had
    // failed to boot.
    assertEquals(returnedBefore, cluster.cloud.returnedHostCount);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    assertEquals(startsBefore, cluster.checker.startCount);
  }

  @Test
  void tasksSurviveAStoreOutage() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    cluster.run(30);
    int startsBefore = cluster.checker.startCount;
    cluster.store.startOutage(cluster.nowMs);
    cluster.run(25);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    cluster.store.endOutage(cluster.nowMs);
    cluster.run(5);
    assertEquals(startsBefore, cluster.checker.startCount);
    Job next = submit(TestFixtures.job(2, JobKind.SERVICE, 1, 1));
    cluster.run(15);
    assertEquals(1, cluster.checker.runningTasks(next.uid()));
  }

  /**
   * The successor finds nearly all tasks running: only a worker that tries the third node last may
   * connect after its lease has expired.
   */
  @Test
  void aLeaderThatWorkersCannotReachResigns() {
    long survived = 0;
    for (int seed = 1; seed <= 20; seed++) {
      SimulatedCluster seededCluster = new SimulatedCluster(seed);
      Job job = TestFixtures.job(1, JobKind.SERVICE, 4, 4);
      seededCluster.submit(job);
      seededCluster.run(30);
      String first = seededCluster.leader();
      seededCluster.cutLink("*>" + first, 30_000);
      seededCluster.cutLink(first + ">*", 30_000);
      seededCluster.run(9);
      assertNotEquals(first, seededCluster.leader());
      assertEquals(List.of(), seededCluster.checker.violations);
      survived += seededCluster.checker.runningTasks(job.uid());
    }
    assertTrue(survived >= 70, survived + " of 80 tasks survived the failover");
  }

  /**
   * Such a leader once kept leading: without any heartbeat it knew no machine that it could miss.
   */
  @Test
  void aNewLeaderThatNoWorkerCanReachResigns() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    cluster.run(30);
    List<String> others =
        cluster.nodeNames().stream().filter(node -> !node.equals(cluster.leader())).toList();
    String cutOffLeader = others.get(0);
    cluster.cutLink("*>" + cutOffLeader, 60_000);
    cluster.cutLink(cutOffLeader + ">*", 60_000);
    cluster.refuseStoreRequests(others.get(1), 6000);
    cluster.crashNode(cluster.leader(), 12_000);
    cluster.run(6);
    assertEquals(cutOffLeader, cluster.leader());
    cluster.run(6);
    assertNotEquals(cutOffLeader, cluster.leader());
  }

  @Test
  void manySubmissionsDoNotDelayRents() {
    cluster.run(3);
    for (int i = 1; i <= 400; i++) {
      submit(TestFixtures.job(i, JobKind.SERVICE, 1, 1));
      cluster.run(0.005);
    }
    assertTrue(
        cluster.cloud.liveHostCount() > 2, "no machines were rented while submissions queue");
  }

  @Test
  void headroomShrinksAfterTheLastSubmissions() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 6, 1));
    cluster.run(20);
    cluster.cancel(job.uid());
    cluster.run(5);
    assertTrue(
        cluster.cloud.liveHostCount() > 0, "no headroom is kept after the job was cancelled");
    cluster.run(120);
    assertEquals(0, cluster.cloud.liveHostCount());
  }

  @Test
  void aFailedMachineIsReplaced() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    cluster.run(30);
    cluster.failMachine(cluster.workers().get(0).machine.name());
    cluster.run(35);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
  }

  @Test
  void aMachineThatHangsPastItsLeaseIsUsedAgain() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    cluster.run(30);
    FakeWorker worker = busyWorker();
    worker.isHanging = true;
    cluster.schedule(17_000, () -> worker.isHanging = false);
    cluster.run(25);
    assertFalse(worker.isDead, "the machine was returned before it resumed");
    cluster.run(20);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
  }

  /**
   * A new leader once waited for a heartbeat of a machine that was cut off, and its tasks ran
   * nowhere.
   */
  @Test
  void tasksOfAMachineSilentSinceAFailoverAreRestartedElsewhereAfterALease() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    cluster.run(30);
    FakeWorker worker = busyWorker();
    worker.isHanging = true;
    cluster.run(1);
    cluster.crashNode(cluster.leader(), 3000);
    cluster.run(25);
    assertTrue(worker.isHanging && !worker.isDead);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
  }

  @Test
  void tasksOfASilentMachineWaitWhileAFormerLeaderMayStillRenewItsLease() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    cluster.run(30);
    FakeWorker worker = busyWorker();
    worker.isHanging = true;
    int startsBefore = cluster.checker.startCount;
    cluster.run(1);
    cluster.crashNode(cluster.leader(), 40_000);
    cluster.run(17);
    assertEquals(startsBefore, cluster.checker.startCount);
    cluster.run(40);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
  }

  /** All machines of a zone that was cut off for slightly over two leases were once returned. */
  @Test
  void aSilentMachineIsKeptForAsLongAsAReplacementTakesToBoot() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    cluster.run(30);
    FakeWorker worker = busyWorker();
    worker.isHanging = true;
    cluster.run(23);
    assertFalse(worker.isDead);
    worker.isHanging = false;
    cluster.run(5);
    assertFalse(worker.isDead);
  }

  @Test
  void aReplacementForASilentMachineIsRentedBeforeItsLeaseExpires() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    cluster.run(150);
    long hostsBefore = cluster.cloud.liveHostCount();
    cluster.failMachine(busyWorker().machine.name());
    cluster.run(8);
    assertEquals(
        hostsBefore,
        cluster.cloud.liveHostCount(),
        "no replacement was rented for the failed machine");
  }

  @Test
  void replicasOnHalfEmptyMachinesAreConsolidated() {
    for (int i = 1; i <= 8; i++) {
      submit(TestFixtures.job(i, JobKind.SERVICE, 1, 2));
      cluster.run(12);
    }
    cluster.run(20);
    for (FakeWorker worker : cluster.workers()) {
      worker.taskIds().stream().skip(1).forEach(task -> cluster.cancel(task.jobUid()));
    }
    cluster.run(2);
    long hostsBefore = cluster.cloud.liveHostCount();
    long runningBefore = cluster.checker.totalRunningTasks();
    cluster.run(120);
    assertTrue(
        cluster.cloud.liveHostCount() < hostsBefore,
        hostsBefore + " or more machines are still rented");
    assertEquals(runningBefore, cluster.checker.totalRunningTasks());
  }

  @Test
  void aReplicaMovesForOneWhoseImageFetchElsewhereWouldTakeTooLong() {
    cluster.cloud.defaultStock = 2;
    Job first = submit(large(1, 3));
    cluster.run(35);
    Job small = submit(TestFixtures.job(2, JobKind.SERVICE, 1, 1));
    cluster.run(5);
    submit(TestFixtures.job(3, JobKind.SERVICE, 1, 1));
    cluster.run(45);
    submit(TestFixtures.job(5, JobKind.SERVICE, 1, 1));
    cluster.cloud.addHost("g4", "a", false, 100, cluster.nowMs);
    cluster.run(3);
    cluster.cancel(first.uid());
    cluster.run(1.2);
    FakeWorker cached =
        cluster.workers().stream()
            .filter(
                worker -> worker.taskIds().stream().anyMatch(t -> t.jobUid().equals(small.uid())))
            .findFirst()
            .orElseThrow();
    Job next = submit(large(4, 4));
    cluster.run(5);
    assertTrue(cached.taskIds().stream().anyMatch(t -> t.jobUid().equals(next.uid())));
    assertEquals(
        1,
        cluster.checker.runningTasks(next.uid()),
        "the job did not start where its image is cached");
    assertEquals(1, cluster.checker.runningTasks(small.uid()));
  }

  /** Creates a replica whose image takes 10 s to fetch, twice as long as its priority may wait. */
  private static Job large(int number, double gpus) {
    return TestFixtures.job(
        number, JobKind.SERVICE, 1, gpus, "blue", Priority.PRODUCTION, false, false, "large", 20);
  }

  @Test
  void aMachineThatResumesDuringACloudOutageIsKept() {
    cluster.cloud.defaultStock = 1;
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 2, 4));
    cluster.run(30);
    FakeWorker worker = busyWorker();
    worker.isHanging = true;
    cluster.cloud.isDown = true;
    cluster.schedule(30_000, () -> worker.isHanging = false);
    cluster.run(40);
    assertEquals(
        2, cluster.checker.runningTasks(job.uid()), "tasks do not run on the machine again");
    cluster.cloud.isDown = false;
    cluster.run(20);
    assertFalse(worker.isDead, "the return of the machine was not cancelled");
    assertEquals(2, cluster.checker.runningTasks(job.uid()));
  }

  @Test
  void anUnexpectedMachineIsReturned() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(30);
    long hostsBefore = cluster.cloud.liveHostCount();
    cluster.cloud.addHost("g4", "a", false, 1000, cluster.nowMs);
    cluster.run(100);
    assertTrue(cluster.cloud.liveHostCount() <= hostsBefore);
  }

  @Test
  void aJobThatFailsEverywhereMarksNoMachineAsFaulty() {
    Job good = submit(TestFixtures.job(1, JobKind.SERVICE, 8, 2));
    cluster.run(30);
    List<String> hosts =
        cluster.workers().stream()
            .filter(worker -> !worker.taskIds().isEmpty())
            .map(worker -> worker.machine.name())
            .toList();
    Job bad = TestFixtures.job(2, JobKind.ARRAY, 4, 0);
    cluster.failingJobs.add(bad.uid());
    submit(bad);
    cluster.run(60);
    assertEquals(8, cluster.checker.runningTasks(good.uid()));
    assertTrue(
        cluster.workers().stream()
            .map(worker -> worker.machine.name())
            .toList()
            .containsAll(hosts));
    cluster.cancel(bad.uid());
    cluster.run(5);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(bad.uid()));
  }

  @Test
  void aFaultyMachineGetsNoStartsAndIsReturned() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    cluster.run(20);
    String name = busyWorker().machine.name();
    cluster.failingMachines.add(name);
    for (int i = 2; i < 8; i++) {
      submit(TestFixtures.job(i, JobKind.ARRAY, 2, 1));
      cluster.run(6);
    }
    cluster.run(90);
    assertFalse(cluster.workers().stream().anyMatch(worker -> worker.machine.name().equals(name)));
    for (int i = 2; i < 8; i++) {
      assertTrue(cluster.checker.allTasksCompleted("run-%06d".formatted(i)));
    }
  }

  @Test
  void productionServicesPreemptLowPriorityArrays() {
    cluster.cloud.defaultStock = 1;
    Job low = submit(TestFixtures.job(1, JobKind.ARRAY, 8, 1, "blue", Priority.LOW, false, false));
    cluster.run(12);
    assertTrue(cluster.checker.runningTasks(low.uid()) > 0);
    Job urgent =
        submit(
            TestFixtures.job(2, JobKind.SERVICE, 2, 4, "blue", Priority.PRODUCTION, false, false));
    cluster.run(15);
    assertEquals(2, cluster.checker.runningTasks(urgent.uid()));
  }

  @Test
  void aJobWithAnUnreadableRecordIsLeftUntouchedWhileOthersAreScheduled() {
    Job broken = submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    cluster.run(20);
    int startsBefore = cluster.checker.startCount;
    cluster.store.corrupt(StoreKeys.allocation(broken.uid()));
    cluster.crashNode(cluster.leader(), 3000);
    cluster.run(20);
    Job other = submit(TestFixtures.job(2, JobKind.SERVICE, 2, 1));
    cluster.queryRandomNode(broken.uid());
    cluster.run(20);
    assertEquals(2, cluster.checker.runningTasks(broken.uid()));
    assertEquals(2, cluster.checker.runningTasks(other.uid()));
    assertEquals(startsBefore + 2, cluster.checker.startCount);
  }

  @Test
  void knownJobsAreNotRejectedAndUnknownJobsAreNotFound() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(10);
    cluster.submit(job);
    cluster.queryRandomNode("run-000099");
    cluster.run(5);
    assertTrue(cluster.checker.wasAccepted(job.uid()));
    assertNull(cluster.checker.finalPhase(job.uid()));
  }

  @Test
  void smallArraysPrecedeLargeOnesWithoutStarvingThem() {
    cluster.cloud.defaultStock = 1;
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 0));
    cluster.run(20);
    Job large = submit(TestFixtures.job(2, JobKind.ARRAY, 60, 2));
    cluster.run(1);
    Job small = submit(TestFixtures.job(3, JobKind.ARRAY, 4, 2));
    cluster.run(25);
    assertTrue(cluster.checker.allTasksCompleted(small.uid()));
    assertFalse(cluster.checker.allTasksCompleted(large.uid()));
    for (int i = 4; i < 40; i++) {
      submit(TestFixtures.job(i, JobKind.ARRAY, 8, 2));
      cluster.run(2);
    }
    assertTrue(cluster.checker.allTasksCompleted(large.uid()), "the large array was starved");
  }

  @Test
  void jobsOfATeamAtItsQuotaWait() {
    Job first =
        submit(TestFixtures.job(1, JobKind.SERVICE, 5, 2, "red", Priority.HIGH, false, false));
    cluster.run(20);
    Job second =
        submit(TestFixtures.job(2, JobKind.SERVICE, 1, 2, "red", Priority.HIGH, false, false));
    cluster.run(10);
    assertEquals(5, cluster.checker.runningTasks(first.uid()));
    assertEquals(0, cluster.checker.runningTasks(second.uid()));
    cluster.cancel(first.uid());
    cluster.run(10);
    assertEquals(1, cluster.checker.runningTasks(second.uid()));
  }
}
