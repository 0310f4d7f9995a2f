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
  private final SimulatedCluster world = new SimulatedCluster(7);

  @AfterEach
  void rulesHold() {
    assertEquals(List.of(), world.checker.breaches);
  }

  /** A worker that has tasks. */
  private FakeWorker busyWorker() {
    return world.workers().stream()
        .filter(worker -> !worker.presentTasks().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  private Job submit(Job job) {
    world.submit(job);
    return job;
  }

  @Test
  void aQuietDayRunsEverything() {
    Job array = submit(TestFixtures.job(1, JobKind.ARRAY, 6, 1));
    Job gang = submit(TestFixtures.job(2, JobKind.GANG, 3, 1));
    Job service = submit(TestFixtures.job(3, JobKind.SERVICE, 3, 1));
    world.run(40);
    assertTrue(world.checker.isDone(array.uid()));
    assertTrue(world.checker.isDone(gang.uid()));
    assertEquals(3, world.checker.running(service.uid()));
    world.abort(service.uid());
    world.run(3);
    assertEquals(0, world.checker.running(service.uid()));
    world.run(120);
    assertTrue(world.cloud.liveHostCount() <= 1, "no more than the headroom is kept");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 150, 200, 250, 300, 400, 600, 1000, 2000})
  void aCrashBetweenAnyTwoStepsOfAStartLosesNothing(int afterMs) {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    world.run(20);
    Job job = submit(TestFixtures.job(2, JobKind.SERVICE, 2, 1));
    world.at(afterMs, () -> world.crash(world.leader(), 3000));
    world.run(40);
    assertEquals(2, world.checker.running(job.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 20, 60, 100, 200, 500})
  void aCrashBetweenAnyTwoStepsOfACancellationLosesNothing(int afterMs) {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    world.run(20);
    world.abort(job.uid());
    world.at(afterMs, () -> world.crash(world.leader(), 3000));
    world.run(20);
    assertEquals(Phase.ABORTED, world.checker.finalStance(job.uid()));
    assertEquals(0, world.checker.running(job.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 50, 100, 200, 400, 800, 1500, 3000})
  void aCrashBetweenAnyTwoStepsOfARentLosesNoMachine(int afterMs) {
    world.run(3);
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    world.at(afterMs, () -> world.crash(world.leader(), 3000));
    world.run(45);
    assertEquals(4, world.checker.running(job.uid()));
    world.abort(job.uid());
    world.run(150);
    assertTrue(world.cloud.liveHostCount() <= 1, "no machine is left running unused");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 250, 500, 750, 1000, 1500, 2000})
  void aCrashBetweenAnyTwoStepsOfAnEndKeepsTheResult(int afterMs) {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    world.run(20);
    Job job = submit(TestFixtures.job(2, JobKind.ARRAY, 3, 1));
    // Tasks fetch for 0.7 s and run for 4 s, so the crash falls around their end.
    world.at(4500 + afterMs, () -> world.crash(world.leader(), 3000));
    world.run(30);
    world.query(job.uid());
    world.run(2);
    assertEquals(Phase.DONE, world.checker.finalStance(job.uid()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 300, 600, 1000, 2000})
  void aCrashBetweenAnyTwoStepsOfAStopAndAReturnLeavesNothingBehind(int afterMs) {
    world.cloud.capacity = 1;
    Job low = submit(TestFixtures.job(1, JobKind.ARRAY, 8, 1, "blue", Priority.LOW, false, false));
    world.run(12);
    Job urgent =
        submit(
            TestFixtures.job(2, JobKind.SERVICE, 2, 4, "blue", Priority.PRODUCTION, false, false));
    world.at(afterMs, () -> world.crash(world.leader(), 2000));
    world.run(30);
    assertEquals(2, world.checker.running(urgent.uid()));
    world.abort(urgent.uid());
    world.abort(low.uid());
    world.at(60_000 + afterMs, () -> world.crash(world.leader(), 2000));
    world.run(200);
    assertTrue(world.cloud.liveHostCount() <= 1);
  }

  @Test
  void tasksOutliveTheLeaderAndItsMachinesAreKept() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    world.run(30);
    int starts = world.checker.starts;
    int returned = world.cloud.returnedHostCount;
    world.crash(world.leader(), 8000);
    world.run(8);
    // A new leader once took machines that it had not heard yet for ones that never came up.
    assertEquals(returned, world.cloud.returnedHostCount);
    assertEquals(4, world.checker.running(job.uid()));
    assertEquals(starts, world.checker.starts);
  }

  @Test
  void tasksOutliveAnOutageOfTheStateService() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    world.run(30);
    int starts = world.checker.starts;
    world.state.outage(world.nowMs);
    world.run(25);
    assertEquals(4, world.checker.running(job.uid()));
    world.state.recover(world.nowMs);
    world.run(5);
    assertEquals(starts, world.checker.starts);
    Job next = submit(TestFixtures.job(2, JobKind.SERVICE, 1, 1));
    world.run(15);
    assertEquals(1, world.checker.running(next.uid()));
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
      cutOff.cut("*>" + first, 30_000);
      cutOff.cut(first + ">*", 30_000);
      cutOff.run(9);
      assertNotEquals(first, cutOff.leader());
      assertEquals(List.of(), cutOff.checker.breaches);
      survived += cutOff.checker.running(job.uid());
    }
    assertTrue(survived >= 70, survived + " of 80 tasks outlive it");
  }

  /** It knew no machine by a report, so that it missed none. */
  @Test
  void aLeaderThatNoWorkerCouldReachFromTheStartResigns() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    world.run(30);
    List<String> others = world.all().stream().filter(n -> !n.equals(world.leader())).toList();
    String cutOff = others.get(0);
    world.cut("*>" + cutOff, 60_000);
    world.cut(cutOff + ">*", 60_000);
    world.refuse(others.get(1), 6000);
    world.crash(world.leader(), 12_000);
    world.run(6);
    assertEquals(cutOff, world.leader());
    world.run(6);
    assertNotEquals(cutOff, world.leader());
  }

  @Test
  void manySubmissionsDoNotHoldRentsUp() {
    world.run(3);
    for (int i = 1; i <= 400; i++) {
      submit(TestFixtures.job(i, JobKind.SERVICE, 1, 1));
      world.run(0.005);
    }
    assertTrue(
        world.cloud.liveHostCount() > 2, "machines are on their way while submissions queue");
  }

  @Test
  void headroomFadesAfterTheLastArrivals() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 6, 1));
    world.run(20);
    world.abort(job.uid());
    world.run(5);
    assertTrue(world.cloud.liveHostCount() > 0, "as many may come again");
    world.run(120);
    assertEquals(0, world.cloud.liveHostCount());
  }

  @Test
  void aMachineThatDiesIsReplaced() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    world.run(30);
    world.die(world.workers().get(0).machine.name());
    world.run(35);
    assertEquals(4, world.checker.running(job.uid()));
  }

  @Test
  void aMachineThatHangsPastItsLeaseIsUsedAgain() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    world.run(30);
    FakeWorker worker = busyWorker();
    worker.hanging = true;
    world.at(17_000, () -> worker.hanging = false);
    world.run(25);
    assertFalse(worker.dead, "it is not returned before it goes on");
    world.run(20);
    assertEquals(4, world.checker.running(job.uid()));
  }

  /** While a new leader waited to hear a machine that was cut off, its tasks ran nowhere. */
  @Test
  void tasksOfAMachineThatANewLeaderNeverHeardArePlacedAnewAfterALease() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    world.run(30);
    FakeWorker worker = busyWorker();
    worker.hanging = true;
    world.run(1);
    world.crash(world.leader(), 3000);
    world.run(25);
    assertTrue(worker.hanging && !worker.dead);
    assertEquals(4, world.checker.running(job.uid()));
  }

  @Test
  void theyWaitWhileNobodyKnowsWhetherTheOlderLeaderHoldsThem() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 4, 2));
    world.run(30);
    FakeWorker worker = busyWorker();
    worker.hanging = true;
    int starts = world.checker.starts;
    world.run(1);
    world.crash(world.leader(), 40_000);
    world.run(17);
    assertEquals(starts, world.checker.starts);
    world.run(40);
    assertEquals(4, world.checker.running(job.uid()));
  }

  /** All machines of a zone that was cut off for a little over two leases were once given back. */
  @Test
  void aSilentMachineIsKeptForTheTimeThatAnotherWouldBoot() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    world.run(30);
    FakeWorker worker = busyWorker();
    worker.hanging = true;
    world.run(23);
    assertFalse(worker.dead);
    worker.hanging = false;
    world.run(5);
    assertFalse(worker.dead);
  }

  @Test
  void roomForTheTasksOfASilentMachineIsRentedBeforeItsLeaseLapses() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    world.run(150);
    long before = world.cloud.liveHostCount();
    world.die(busyWorker().machine.name());
    world.run(8);
    assertEquals(before, world.cloud.liveHostCount(), "one died and another is on its way");
  }

  @Test
  void replicasOnHalfEmptyMachinesAreMovedTogether() {
    for (int i = 1; i <= 8; i++) {
      submit(TestFixtures.job(i, JobKind.SERVICE, 1, 2));
      world.run(12);
    }
    world.run(20);
    for (FakeWorker worker : world.workers()) {
      worker.presentTasks().stream().skip(1).forEach(task -> world.abort(task.jobUid()));
    }
    world.run(2);
    long before = world.cloud.liveHostCount();
    long running = world.checker.runningTasks();
    world.run(120);
    assertTrue(world.cloud.liveHostCount() < before, before + " machines stay");
    assertEquals(running, world.checker.runningTasks());
  }

  @Test
  void aReplicaMovesForOneThatWouldFetchForTooLongElsewhere() {
    world.cloud.capacity = 2;
    Job first = submit(large(1, 3));
    world.run(35);
    Job small = submit(TestFixtures.job(2, JobKind.SERVICE, 1, 1));
    world.run(5);
    submit(TestFixtures.job(3, JobKind.SERVICE, 1, 1));
    world.run(45);
    submit(TestFixtures.job(5, JobKind.SERVICE, 1, 1));
    world.cloud.addHost("g4", "a", false, 100, world.nowMs);
    world.run(3);
    world.abort(first.uid());
    world.run(1.2);
    FakeWorker cached =
        world.workers().stream()
            .filter(
                worker ->
                    worker.presentTasks().stream().anyMatch(t -> t.jobUid().equals(small.uid())))
            .findFirst()
            .orElseThrow();
    Job next = submit(large(4, 4));
    world.run(5);
    assertTrue(cached.presentTasks().stream().anyMatch(t -> t.jobUid().equals(next.uid())));
    assertEquals(1, world.checker.running(next.uid()), "the image comes too late elsewhere");
    assertEquals(1, world.checker.running(small.uid()));
  }

  /** A replica whose image takes 10 s to fetch, twice as long as its class may wait. */
  private static Job large(int number, double gpus) {
    return TestFixtures.job(
        number, JobKind.SERVICE, 1, gpus, "blue", Priority.PRODUCTION, false, false, "large", 20);
  }

  @Test
  void aMachineHeardAgainWhileTheCloudIsOutIsKept() {
    world.cloud.capacity = 1;
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 2, 4));
    world.run(30);
    FakeWorker worker = busyWorker();
    worker.hanging = true;
    world.cloud.isDown = true;
    world.at(30_000, () -> worker.hanging = false);
    world.run(40);
    assertEquals(2, world.checker.running(job.uid()), "it runs there again");
    world.cloud.isDown = false;
    world.run(20);
    assertFalse(worker.dead, "its return was called off");
    assertEquals(2, world.checker.running(job.uid()));
  }

  @Test
  void anUnexpectedMachineIsGivenBack() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    world.run(30);
    long before = world.cloud.liveHostCount();
    world.cloud.addHost("g4", "a", false, 1000, world.nowMs);
    world.run(100);
    assertTrue(world.cloud.liveHostCount() <= before);
  }

  @Test
  void aJobThatFailsEverywhereCondemnsNoMachine() {
    Job good = submit(TestFixtures.job(1, JobKind.SERVICE, 8, 2));
    world.run(30);
    List<String> hosts =
        world.workers().stream()
            .filter(worker -> !worker.presentTasks().isEmpty())
            .map(worker -> worker.machine.name())
            .toList();
    Job bad = TestFixtures.job(2, JobKind.ARRAY, 4, 0);
    world.badJobs.add(bad.uid());
    submit(bad);
    world.run(60);
    assertEquals(8, world.checker.running(good.uid()));
    assertTrue(
        world.workers().stream().map(worker -> worker.machine.name()).toList().containsAll(hosts));
    world.abort(bad.uid());
    world.run(5);
    assertEquals(Phase.ABORTED, world.checker.finalStance(bad.uid()));
  }

  @Test
  void aFaultyMachineGetsNoStartsAndIsReturned() {
    submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    world.run(20);
    String name = busyWorker().machine.name();
    world.badMachines.add(name);
    for (int i = 2; i < 8; i++) {
      submit(TestFixtures.job(i, JobKind.ARRAY, 2, 1));
      world.run(6);
    }
    world.run(90);
    assertFalse(world.workers().stream().anyMatch(worker -> worker.machine.name().equals(name)));
    for (int i = 2; i < 8; i++) {
      assertTrue(world.checker.isDone("run-%06d".formatted(i)));
    }
  }

  @Test
  void urgentServicesTakeTheRoomOfLowArrays() {
    world.cloud.capacity = 1;
    Job low = submit(TestFixtures.job(1, JobKind.ARRAY, 8, 1, "blue", Priority.LOW, false, false));
    world.run(12);
    assertTrue(world.checker.running(low.uid()) > 0);
    Job urgent =
        submit(
            TestFixtures.job(2, JobKind.SERVICE, 2, 4, "blue", Priority.PRODUCTION, false, false));
    world.run(15);
    assertEquals(2, world.checker.running(urgent.uid()));
  }

  @Test
  void aJobWithARecordThatCannotBeReadIsLeftAloneAndTheRestGoesOn() {
    Job broken = submit(TestFixtures.job(1, JobKind.SERVICE, 2, 1));
    world.run(20);
    int starts = world.checker.starts;
    world.state.spoil(StoreKeys.alloc(broken.uid()));
    world.crash(world.leader(), 3000);
    world.run(20);
    Job other = submit(TestFixtures.job(2, JobKind.SERVICE, 2, 1));
    world.query(broken.uid());
    world.run(20);
    assertEquals(2, world.checker.running(broken.uid()));
    assertEquals(2, world.checker.running(other.uid()));
    assertEquals(starts + 2, world.checker.starts);
  }

  @Test
  void whatIsKnownIsNeverRefusedAndWhatIsNotIsDenied() {
    Job job = submit(TestFixtures.job(1, JobKind.SERVICE, 1, 1));
    world.run(10);
    world.submit(job);
    world.query("run-000099");
    world.run(5);
    assertTrue(world.checker.wasAccepted(job.uid()));
    assertNull(world.checker.finalStance(job.uid()));
  }

  @Test
  void smallArraysGoBeforeLargeOnesForAWhileOnly() {
    world.cloud.capacity = 1;
    submit(TestFixtures.job(1, JobKind.SERVICE, 1, 0));
    world.run(20);
    Job large = submit(TestFixtures.job(2, JobKind.ARRAY, 60, 2));
    world.run(1);
    Job small = submit(TestFixtures.job(3, JobKind.ARRAY, 4, 2));
    world.run(25);
    assertTrue(world.checker.isDone(small.uid()));
    assertFalse(world.checker.isDone(large.uid()));
    for (int i = 4; i < 40; i++) {
      submit(TestFixtures.job(i, JobKind.ARRAY, 8, 2));
      world.run(2);
    }
    assertTrue(world.checker.isDone(large.uid()), "the large one has its turn");
  }

  @Test
  void aFullTeamWaitsForItsLimit() {
    Job first =
        submit(TestFixtures.job(1, JobKind.SERVICE, 5, 2, "red", Priority.HIGH, false, false));
    world.run(20);
    Job second =
        submit(TestFixtures.job(2, JobKind.SERVICE, 1, 2, "red", Priority.HIGH, false, false));
    world.run(10);
    assertEquals(5, world.checker.running(first.uid()));
    assertEquals(0, world.checker.running(second.uid()));
    world.abort(first.uid());
    world.run(10);
    assertEquals(1, world.checker.running(second.uid()));
  }
}
