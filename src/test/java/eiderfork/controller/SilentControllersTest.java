package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.message.StoreKeys;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Controllers that are silent, or stand still, for longer than every lease. */
class SilentControllersTest {
  private static final long SILENT_MS = 75_000;

  /** What a controller may lose. */
  enum Loss {
    ALL,
    STATE_SERVICE,
    WORKERS,
    REFUSED
  }

  private final SimulatedCluster cluster = new SimulatedCluster(21);

  @AfterEach
  void rulesHold() {
    assertEquals(List.of(), cluster.checker.violations);
  }

  private void lose(String node, Loss loss, long forMs) {
    switch (loss) {
      case ALL -> {
        cluster.isolateNode(node, forMs);
        loseWorkers(node, forMs);
      }
      case STATE_SERVICE -> cluster.cutLink(node + ">state", forMs);
      case WORKERS -> loseWorkers(node, forMs);
      case REFUSED -> cluster.refuseStoreRequests(node, forMs);
      default -> throw new IllegalArgumentException(loss.toString());
    }
  }

  /** Reports don't reach the node, and its commands reach no machine. */
  private void loseWorkers(String node, long forMs) {
    cluster.cutLink("*>" + node, forMs);
    cluster.cutLink(node + ">*", forMs);
  }

  private long term() {
    return cluster.store.get(StoreKeys.TERM) instanceof StoredRecord.TermCounter it ? it.term() : 0;
  }

  /** Services and arrays that come all the while, some of which are cancelled. */
  private List<Job> work(int from, int count, long everyMs) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Job job = TestFixtures.job(from + i, i % 2 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 2, 1);
      jobs.add(job);
      cluster.schedule(1000 + i * everyMs, () -> cluster.submit(job));
      if (i % 4 == 2) {
        cluster.schedule(9000 + i * everyMs, () -> cluster.cancel(job.uid()));
      }
    }
    return jobs;
  }

  /**
   * Somebody leads who reaches the rest, users are served meanwhile, and the lead does not go to
   * and fro.
   */
  @ParameterizedTest
  @EnumSource(Loss.class)
  void aLeaderThatIsSilentForOverAMinuteIsReplacedOnce(Loss loss) {
    List<Job> jobs = work(1, 20, 4000);
    cluster.run(20);
    String silent = cluster.leader();
    long term = term();
    lose(silent, loss, SILENT_MS);
    cluster.run(20);
    assertNotEquals(silent, cluster.leader());
    assertTrue(cluster.controllers.get(cluster.leader()) != null);
    cluster.run(70);
    assertTrue(term() <= term + 2, "terms " + term + " to " + term());
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * Workers that lose the leader alone find the next one within their lease. Sent back to it by its
   * peers, they waited there in vain for four seconds at a time, and half of them lost their tasks.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aLeaderThatWorkersLoseCostsThemNoLease(long seed) {
    SimulatedCluster hung = new SimulatedCluster(seed);
    for (int i = 1; i <= 12; i++) {
      hung.submit(TestFixtures.job(i, JobKind.SERVICE, 2, 2));
    }
    hung.run(30);
    List<Long> sessions = hung.workers().stream().map(FakeWorker::incarnation).toList();
    String leader = hung.leader();
    hung.cutLink("*>" + leader, SILENT_MS);
    hung.cutLink(leader + ">*", SILENT_MS);
    hung.run(25);
    assertNotEquals(leader, hung.leader());
    List<Long> after = hung.workers().stream().map(FakeWorker::incarnation).toList();
    assertEquals(sessions, after.subList(0, sessions.size()), "leases lapsed");
    assertEquals(List.of(), hung.checker.violations);
  }

  /** Two are silent together; the third leads, or nobody where it can't be told from an outage. */
  @ParameterizedTest
  @CsvSource({"ALL,ALL", "ALL,WORKERS", "STATE_SERVICE,WORKERS", "REFUSED,ALL", "WORKERS,WORKERS"})
  void theThirdLeadsWhileTwoAreSilent(Loss first, Loss second) {
    List<Job> jobs = work(1, 20, 4000);
    cluster.run(20);
    String leader = cluster.leader();
    List<String> others =
        cluster.nodeNames().stream().filter(node -> !node.equals(leader)).toList();
    long term = term();
    lose(leader, first, SILENT_MS);
    lose(others.get(0), second, SILENT_MS);
    cluster.run(40);
    assertEquals(others.get(1), cluster.leader());
    cluster.run(60);
    assertTrue(term() <= term + 4, "terms " + term + " to " + term());
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** A leader cut from workers while its peers are cut from the store: nobody is better. */
  @Test
  void aLeaderThatNobodyCouldReplaceKeepsTheLead() {
    List<Job> jobs = work(1, 12, 5000);
    cluster.run(20);
    String leader = cluster.leader();
    long term = term();
    lose(leader, Loss.WORKERS, SILENT_MS);
    for (String node : cluster.nodeNames()) {
      if (!node.equals(leader)) {
        lose(node, Loss.STATE_SERVICE, SILENT_MS);
      }
    }
    cluster.run(60);
    assertEquals(leader, cluster.leader());
    assertEquals(term, term(), "the lead went to and fro");
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** What a node held before it stood still renews, confirms and places nothing afterwards. */
  @ParameterizedTest
  @ValueSource(ints = {1, 5, 20})
  void aLeaderThatStandsStillInTheMiddleOfAnythingBreaksNoRule(int seconds) {
    for (long offsetMs = 0; offsetMs < 600; offsetMs += 50) {
      SimulatedCluster still = new SimulatedCluster(100 + offsetMs);
      List<Job> jobs = new ArrayList<>();
      still.run(2);
      for (int i = 1; i <= 8; i++) {
        Job job = TestFixtures.job(i, i % 2 == 0 ? JobKind.SERVICE : JobKind.ARRAY, 2, 1);
        jobs.add(job);
        still.schedule(i * 700L, () -> still.submit(job));
      }
      still.run(12);
      String leader = still.leader();
      Job started = TestFixtures.job(20, JobKind.SERVICE, 2, 1);
      Job cancelled = jobs.get(1);
      jobs.add(started);
      // A write, a command, an answer and a cancellation are under way as it stops.
      still.submit(started);
      still.cancel(cancelled.uid());
      still.schedule(offsetMs, () -> still.freezeNode(leader, seconds * 1000L));
      // Another node confirms a cancellation that the sleeper can't have heard of.
      still.schedule(
          offsetMs + seconds * 500L,
          () -> {
            for (String node : still.nodeNames()) {
              if (!node.equals(leader)) {
                still.cancelOnce(node, jobs.get(3).uid());
              }
            }
          });
      still.run(70);
      assertEquals(List.of(), still.checker.violations, "stopped after " + offsetMs + " ms");
      assertEquals(Phase.ABORTED, still.checker.finalPhase(cancelled.uid()));
      assertEquals(2, still.checker.runningTasks(started.uid()));
    }
  }

  /**
   * Workers try the nodes in their order and wait four seconds at one that is silent: after one has
   * gone silent, the node before it leads only where no other can.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void theNodeBeforeASilentOneDoesNotLead(long seed) {
    SimulatedCluster three = new SimulatedCluster(seed);
    for (int i = 1; i <= 8; i++) {
      three.submit(TestFixtures.job(i, JobKind.SERVICE, 2, 2));
    }
    three.run(30);
    int silent = three.leader().charAt(three.leader().length() - 1) - '0';
    three.crashNode(three.leader(), SILENT_MS);
    three.run(15);
    int second = three.leader().charAt(three.leader().length() - 1) - '0';
    assertNotEquals(
        silent, (second + 1) % three.nodeCount, "workers would try the silent node next");
    List<FakeWorker> workers = three.workers();
    List<Long> sessions = workers.stream().map(FakeWorker::incarnation).toList();
    three.freezeNode(three.leader(), 20_000);
    three.run(25);
    assertEquals(sessions, workers.stream().map(FakeWorker::incarnation).toList(), "leases lapsed");
    assertEquals(List.of(), three.checker.violations);
  }

  /** Late boots meet a leader that is refused by the store as machines are taken back. */
  @Test
  void lateBootsMeetALeaderThatIsRefused() {
    cluster.cloud.bootMs = 60_000;
    List<Job> jobs = work(1, 8, 1000);
    cluster.run(12);
    lose(cluster.leader(), Loss.REFUSED, SILENT_MS);
    cluster.run(30);
    cluster.cloud.bootMs = 0;
    cluster.run(60);
    cluster.workers().stream()
        .limit(1)
        .forEach(worker -> cluster.failMachine(worker.machine.name()));
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    int hosts = cluster.cloud.hosts().size();
    assertTrue(hosts <= 40, hosts + " machines were rented");
  }
}
