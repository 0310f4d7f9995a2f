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

/** One failure at a time, and what has to come of it. */
class SingleFailureTest {
  private final SimulatedCluster cluster = new SimulatedCluster(7);

  @AfterEach
  void rulesHold() {
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** A worker that has tasks. */
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
  void aQuietDayRunsEverything() {
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
    assertTrue(cluster.cloud.liveHostCount() <= 1, "no more than the headroom is kept");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 150, 200, 250, 300, 400, 600, 1000, 2000})
  void aCrashBetweenAnyTwoStepsOfAStartLosesNothing(int afterMs) {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(20);
    Job job = submit(TestFixtures.job(2, JobKind.SERVICE, 2, 1));
    cluster.schedule(afterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(40);
    assertEquals(2, cluster.checker.runningTasks(job.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 20, 60, 100, 200, 500})
  void aCrashBetweenAnyTwoStepsOfACancellationLosesNothing(int afterMs) {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    cluster.run(20);
    cluster.cancel(job.uid());
    cluster.schedule(afterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(20);
    assertEquals(Phase.ABORTED, cluster.checker.finalPhase(job.uid()));
    assertEquals(0, cluster.checker.runningTasks(job.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 200, 400, 800, 1500, 3000})
  void aCrashBetweenAnyTwoStepsOfARentLosesNoMachine(int afterMs) {
    cluster.run(3);
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    cluster.schedule(afterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(45);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    cluster.cancel(job.uid());
    cluster.run(150);
    assertTrue(cluster.cloud.liveHostCount() <= 1, "no machine is left running unused");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 250, 500, 750, 1000, 1500, 2000})
  void aCrashBetweenAnyTwoStepsOfAnEndKeepsTheResult(int afterMs) {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(20);
    Job job = submit(TestFixtures.job(2, JobKind.ARRAY, 3, 1));
    // Tasks fetch for 0.7 s and run for 4 s, so the crash falls around their end.
    cluster.schedule(4500 + afterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(30);
    cluster.queryRandomNode(job.uid());
    cluster.run(2);
    assertEquals(Phase.DONE, cluster.checker.finalPhase(job.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 300, 600, 1000, 2000})
  void aCrashBetweenAnyTwoStepsOfAStopAndAReturnLeavesNothingBehind(int afterMs) {
    cluster.cloud.defaultStock = 1;
    Job low = submit(TestFixtures.job(1, JobKind.ARRAY, 8, 1, "blue", Priority.LOW, false, false));
    cluster.run(12);
    Job urgent =
        submit(
            TestFixtures.job(2, JobKind.SERVICE, 2, 4, "blue", Priority.PRODUCTION, false, false));
    cluster.schedule(afterMs, () -> cluster.crashNode(cluster.leader(), 2000));
    cluster.run(30);
    assertEquals(2, cluster.checker.runningTasks(urgent.uid()));
    cluster.cancel(urgent.uid());
    cluster.cancel(low.uid());
    cluster.schedule(60_000 + afterMs, () -> cluster.crashNode(cluster.leader(), 2000));
    cluster.run(200);
    assertTrue(cluster.cloud.liveHostCount() <= 1);
  }

  @Test
  void tasksOutliveTheLeaderAndItsMachinesAreKept() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    cluster.run(30);
    int starts = cluster.checker.startCount;
    int returned = cluster.cloud.returnedHostCount;
    cluster.crashNode(cluster.leader(), 8000);
    cluster.run(8);
    // A new leader once took machines that it had not heard yet for ones that never came up.
    assertEquals(returned, cluster.cloud.returnedHostCount);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    assertEquals(starts, cluster.checker.startCount);
  }

  @Test
  void tasksOutliveAnOutageOfTheStateService() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    cluster.run(30);
    int starts = cluster.checker.startCount;
    cluster.store.startOutage(cluster.nowMs);
    cluster.run(25);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    cluster.store.endOutage(cluster.nowMs);
    cluster.run(5);
    assertEquals(starts, cluster.checker.startCount);
    Job next = submit(TestFixtures.job(2, JobKind.SERVICE, 1, 1));
    cluster.run(15);
    assertEquals(1, cluster.checker.runningTasks(next.uid()));
  }

  /**
   * Its successor finds nearly all tasks running: only a worker that tries the third node last may
   * come too late for its lease.
   */
  @Test
  void aLeaderThatWorkersCannotReachResigns() {
    long survived = 0;
    for (int seed = 1; seed <= 20; seed++) {
      SimulatedCluster cutOff = new SimulatedCluster(seed);
      Job job = TestFixtures.job(1, JobKind.SERVICE, 4, 4);
      cutOff.submit(job);
      cutOff.run(30);
      String first = cutOff.leader();
      cutOff.cutLink("*>" + first, 30_000);
      cutOff.cutLink(first + ">*", 30_000);
      cutOff.run(9);
      assertNotEquals(first, cutOff.leader());
      assertEquals(List.of(), cutOff.checker.violations);
      survived += cutOff.checker.runningTasks(job.uid());
    }
    assertTrue(survived >= 70, survived + " of 80 tasks outlive it");
  }

  /** It knew no machine by a report, so that it missed none. */
  @Test
  void aLeaderThatNoWorkerCouldReachFromTheStartResigns() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    cluster.run(30);
    List<String> others =
        cluster.nodeNames().stream().filter(n -> !n.equals(cluster.leader())).toList();
    String cutOff = others.get(0);
    cluster.cutLink("*>" + cutOff, 60_000);
    cluster.cutLink(cutOff + ">*", 60_000);
    cluster.refuseStoreRequests(others.get(1), 6000);
    cluster.crashNode(cluster.leader(), 12_000);
    cluster.run(6);
    assertEquals(cutOff, cluster.leader());
    cluster.run(6);
    assertNotEquals(cutOff, cluster.leader());
  }

  @Test
  void manySubmissionsDoNotHoldRentsUp() {
    cluster.run(3);
    for (int i = 1; i <= 400; i++) {
      submit(TestFixtures.job(i, JobKind.SERVICE, 1, 1));
      cluster.run(0.005);
    }
    assertTrue(
        cluster.cloud.liveHostCount() > 2, "machines are on their way while submissions queue");
  }

  @Test
  void headroomFadesAfterTheLastArrivals() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 6, 1));
    cluster.run(20);
    cluster.cancel(job.uid());
    cluster.run(5);
    assertTrue(cluster.cloud.liveHostCount() > 0, "as many may come again");
    cluster.run(120);
    assertEquals(0, cluster.cloud.liveHostCount());
  }

  @Test
  void aMachineThatDiesIsReplaced() {
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
    assertFalse(worker.isDead, "it is not returned before it goes on");
    cluster.run(20);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
  }

  /** While a new leader waited to hear a machine that was cut off, its tasks ran nowhere. */
  @Test
  void tasksOfAMachineThatANewLeaderNeverHeardArePlacedAnewAfterALease() {
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
  void theyWaitWhileNobodyKnowsWhetherTheOlderLeaderHoldsThem() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    cluster.run(30);
    FakeWorker worker = busyWorker();
    worker.isHanging = true;
    int starts = cluster.checker.startCount;
    cluster.run(1);
    cluster.crashNode(cluster.leader(), 40_000);
    cluster.run(17);
    assertEquals(starts, cluster.checker.startCount);
    cluster.run(40);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
  }

  /** All machines of a zone that was cut off for a little over two leases were once given back. */
  @Test
  void aSilentMachineIsKeptForTheTimeThatAnotherWouldBoot() {
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
  void roomForTheTasksOfASilentMachineIsRentedBeforeItsLeaseLapses() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    cluster.run(150);
    long before = cluster.cloud.liveHostCount();
    cluster.failMachine(busyWorker().machine.name());
    cluster.run(8);
    assertEquals(before, cluster.cloud.liveHostCount(), "one died and another is on its way");
  }

  @Test
  void replicasOnHalfEmptyMachinesAreMovedTogether() {
    for (int i = 1; i <= 8; i++) {
      submit(TestFixtures.job(i, JobKind.SERVICE, 1, 2));
      cluster.run(12);
    }
    cluster.run(20);
    for (FakeWorker worker : cluster.workers()) {
      worker.taskIds().stream().skip(1).forEach(task -> cluster.cancel(task.jobUid()));
    }
    cluster.run(2);
    long before = cluster.cloud.liveHostCount();
    long running = cluster.checker.totalRunningTasks();
    cluster.run(120);
    assertTrue(cluster.cloud.liveHostCount() < before, before + " machines stay");
    assertEquals(running, cluster.checker.totalRunningTasks());
  }

  @Test
  void aReplicaMovesForOneThatWouldFetchForTooLongElsewhere() {
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
    assertEquals(1, cluster.checker.runningTasks(next.uid()), "the image comes too late elsewhere");
    assertEquals(1, cluster.checker.runningTasks(small.uid()));
  }

  /** A replica whose image takes 10 s to fetch, twice as long as its class may wait. */
  private static Job large(int number, double gpus) {
    return TestFixtures.job(
        number, JobKind.SERVICE, 1, gpus, "blue", Priority.PRODUCTION, false, false, "large", 20);
  }

  @Test
  void aMachineHeardAgainWhileTheCloudIsOutIsKept() {
    cluster.cloud.defaultStock = 1;
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 2, 4));
    cluster.run(30);
    FakeWorker worker = busyWorker();
    worker.isHanging = true;
    cluster.cloud.isDown = true;
    cluster.schedule(30_000, () -> worker.isHanging = false);
    cluster.run(40);
    assertEquals(2, cluster.checker.runningTasks(job.uid()), "it runs there again");
    cluster.cloud.isDown = false;
    cluster.run(20);
    assertFalse(worker.isDead, "its return was called off");
    assertEquals(2, cluster.checker.runningTasks(job.uid()));
  }

  @Test
  void anUnexpectedMachineIsGivenBack() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(30);
    long before = cluster.cloud.liveHostCount();
    cluster.cloud.addHost("g4", "a", false, 1000, cluster.nowMs);
    cluster.run(100);
    assertTrue(cluster.cloud.liveHostCount() <= before);
  }

  @Test
  void aJobThatFailsEverywhereCondemnsNoMachine() {
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
  void urgentServicesTakeTheRoomOfLowArrays() {
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
  void aJobWithARecordThatCannotBeReadIsLeftAloneAndTheRestGoesOn() {
    Job broken = submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    cluster.run(20);
    int starts = cluster.checker.startCount;
    cluster.store.corrupt(StoreKeys.allocation(broken.uid()));
    cluster.crashNode(cluster.leader(), 3000);
    cluster.run(20);
    Job other = submit(TestFixtures.job(2, JobKind.SERVICE, 2, 1));
    cluster.queryRandomNode(broken.uid());
    cluster.run(20);
    assertEquals(2, cluster.checker.runningTasks(broken.uid()));
    assertEquals(2, cluster.checker.runningTasks(other.uid()));
    assertEquals(starts + 2, cluster.checker.startCount);
  }

  @Test
  void whatIsKnownIsNeverRefusedAndWhatIsNotIsDenied() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    cluster.run(10);
    cluster.submit(job);
    cluster.queryRandomNode("run-000099");
    cluster.run(5);
    assertTrue(cluster.checker.wasAccepted(job.uid()));
    assertNull(cluster.checker.finalPhase(job.uid()));
  }

  @Test
  void smallArraysGoBeforeLargeOnesForAWhileOnly() {
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
    assertTrue(cluster.checker.allTasksCompleted(large.uid()), "the large one has its turn");
  }

  @Test
  void aFullTeamWaitsForItsLimit() {
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
