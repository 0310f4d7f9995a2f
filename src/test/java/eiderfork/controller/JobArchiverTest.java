package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Jobs that leave the working keys and the leader's memory, and what must never bring them back.
 */
class JobArchiverTest {
  private static final double STAY_S = 0.5;

  static SimulatedCluster newCluster(long seed) {
    return new SimulatedCluster(seed, TestFixtures.archivingSettings(STAY_S));
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  private static void assertNoBreaches(SimulatedCluster cluster) {
    assertEquals(List.of(), cluster.checker.violations);
  }

  private static boolean isArchived(SimulatedCluster cluster, Job job) {
    return cluster.store.get(StoreKeys.archivedJob(job.uid())) != null;
  }

  /** Nothing of the job is left but the record of its final state. */
  private static void assertArchivedCompletely(SimulatedCluster cluster, Job job) {
    assertInstanceOf(
        StoredRecord.ArchivedJob.class,
        cluster.store.get(StoreKeys.archivedJob(job.uid())),
        job::uid);
    assertNull(cluster.store.get(StoreKeys.job(job.uid())), job::uid);
    assertNull(cluster.store.get(StoreKeys.allocation(job.uid())), job::uid);
    assertNull(cluster.store.get(StoreKeys.cancellation(job.uid())), job::uid);
  }

  /** An array that is done, and a service that is cancelled. */
  private static List<Job> runJobsToTheirEnd(SimulatedCluster cluster) {
    Job array = TestFixtures.job(1, JobKind.ARRAY, 3, 1);
    Job service = TestFixtures.job(2, JobKind.SERVICE, 2, 1);
    cluster.submit(array);
    cluster.submit(service);
    cluster.schedule(12_000, () -> cluster.cancel(service.uid()));
    cluster.run(40);
    return List.of(array, service);
  }

  private static void write(
      SimulatedCluster cluster, StoreRequest.Condition condition, String key, StoredRecord record) {
    cluster.store.execute(
        new StoreRequest.Transaction(
            ImmutableList.of(condition), ImmutableList.of(StoreRequest.Change.put(key, record))),
        cluster.nowMs,
        reply -> assertInstanceOf(Reply.Committed.class, reply));
  }

  private static void submitLateAsOlderVersion(SimulatedCluster cluster, Job job) {
    String key = StoreKeys.job(job.uid());
    write(cluster, new StoreRequest.Condition(key, 0), key, new StoredRecord.JobSpec(job));
  }

  private static void abortLateAsOlderVersion(SimulatedCluster cluster, Job job) {
    StoreRequest.Condition neverStarted =
        new StoreRequest.Condition(StoreKeys.allocation(job.uid()), 0);
    write(
        cluster,
        neverStarted,
        StoreKeys.cancellation(job.uid()),
        new StoredRecord.Cancellation(job.uid()));
  }

  @Test
  void archivedJobsLeaveKeysAndMemoryAndEveryNodeAnswersForThem() {
    SimulatedCluster cluster = newCluster(1);
    List<Job> jobs = runJobsToTheirEnd(cluster);
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
    assertEquals(0, cluster.controllers.get(cluster.leader()).jobsInMemory());
    for (Job job : jobs) {
      cluster.queryAndResubmitEverywhere(job.uid());
      for (String node : cluster.nodeNames()) {
        cluster.cancelOnce(node, job.uid());
      }
    }
    int answers = cluster.checker.answeredRequests;
    cluster.run(5);
    assertEquals(answers + 2 * 9, cluster.checker.answeredRequests);
    assertNoBreaches(cluster);
    assertEquals(JobStatus.Phase.DONE, cluster.checker.finalPhase(jobs.get(0).uid()));
    assertEquals(JobStatus.Phase.ABORTED, cluster.checker.finalPhase(jobs.get(1).uid()));
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
  }

  /** Processes that remember nothing answer from the archived record alone. */
  @Test
  void restartedNodesAnswerForArchivedJobs() {
    SimulatedCluster cluster = newCluster(2);
    List<Job> jobs = runJobsToTheirEnd(cluster);
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 500));
    cluster.run(10);
    jobs.forEach(job -> cluster.queryAndResubmitEverywhere(job.uid()));
    int answers = cluster.checker.answeredRequests;
    cluster.run(5);
    assertEquals(answers + 2 * 6, cluster.checker.answeredRequests);
    assertNoBreaches(cluster);
  }

  @Test
  void jobsAreArchivedAfterTheConfiguredRetention() {
    SimulatedCluster cluster = new SimulatedCluster(3, TestFixtures.archivingSettings(60));
    List<Job> jobs = runJobsToTheirEnd(cluster);
    jobs.forEach(job -> assertFalse(isArchived(cluster, job)));
    cluster.run(60);
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
  }

  /**
   * The write of a submission that a process of an older version sent minutes ago knows no archive.
   * Guards: the condition of a job's first alloc write, and the look into the archive before memory
   * answers for a job without one.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void lateSubmissionOfAnOlderVersionRestoresNothing(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    List<Job> jobs = runJobsToTheirEnd(cluster);
    int starts = cluster.checker.startCount;
    jobs.forEach(job -> submitLateAsOlderVersion(cluster, job));
    for (int ms = 0; ms < 2000; ms += 70) {
      cluster.schedule(
          ms, () -> jobs.forEach(job -> cluster.queryAndResubmitEverywhere(job.uid())));
    }
    if (seed % 2 == 0) {
      cluster.schedule(seed * 40, () -> cluster.crashNode(cluster.leader(), 1000));
    }
    cluster.run(20);
    assertNoBreaches(cluster);
    assertEquals(starts, cluster.checker.startCount);
    // The copy itself goes, too, so that later leaders are not bothered by it.
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
  }

  /** The same without capacity, so that no allocation write checks for the archived record. */
  @Test
  void resubmittedArchivedJobIsAnsweredFromTheArchive() {
    SimulatedCluster cluster = newCluster(4);
    Job job = runJobsToTheirEnd(cluster).get(0);
    cluster.cloud.isDown = true;
    cluster.workers().forEach(worker -> cluster.failMachine(worker.machine.name()));
    cluster.run(60);
    submitLateAsOlderVersion(cluster, job);
    cluster.run(3);
    // A process that has answered with the final status would answer from its cache.
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 500));
    for (int ms = 3000; ms < 9000; ms += 70) {
      cluster.schedule(ms, () -> cluster.queryAllNodes(job.uid()));
    }
    cluster.run(10);
    assertNoBreaches(cluster);
  }

  /** A late cancellation of a job that had not started when it was requested, and is done now. */
  @ParameterizedTest
  @MethodSource("seeds")
  void lateCancellationOfAnOlderVersionChangesNothing(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    Job done = runJobsToTheirEnd(cluster).get(0);
    cluster.checker.recordCancellation(done.uid());
    abortLateAsOlderVersion(cluster, done);
    if (seed % 2 == 0) {
      submitLateAsOlderVersion(cluster, done);
    }
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 200 + seed * 50));
    // Queried early, the nodes would answer later queries from their cache.
    int firstAskedMs = seed % 3 == 0 ? 0 : 7000;
    for (int ms = firstAskedMs; ms < 9000; ms += 70) {
      cluster.schedule(ms, () -> cluster.queryAllNodes(done.uid()));
    }
    cluster.schedule(9000, () -> cluster.cancelOnce("roost-0", done.uid()));
    cluster.run(15);
    assertNoBreaches(cluster);
    assertEquals(JobStatus.Phase.DONE, cluster.checker.finalPhase(done.uid()));
    assertEquals(
        new StoredRecord.ArchivedJob(JobStatus.Phase.DONE, 3),
        cluster.store.get(StoreKeys.archivedJob(done.uid())));
  }

  /** Both late writes at once, and a leader with no reason yet to check the job again. */
  @Test
  void cancelledCopyOfADoneJobDoesNotChangeItsStatus() {
    SimulatedCluster cluster = new SimulatedCluster(10, TestFixtures.archivingSettings(20));
    Job done = runJobsToTheirEnd(cluster).get(0);
    cluster.run(30);
    assertArchivedCompletely(cluster, done);
    cluster.checker.recordCancellation(done.uid());
    submitLateAsOlderVersion(cluster, done);
    abortLateAsOlderVersion(cluster, done);
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 500));
    cluster.run(8);
    for (String node : cluster.nodeNames()) {
      cluster.cancelOnce(node, done.uid());
    }
    cluster.run(3);
    cluster.queryAndResubmitEverywhere(done.uid());
    cluster.run(40);
    cluster.queryAllNodes(done.uid());
    cluster.run(3);
    assertNoBreaches(cluster);
    assertEquals(JobStatus.Phase.DONE, cluster.checker.finalPhase(done.uid()));
    assertNull(cluster.store.get(StoreKeys.job(done.uid())));
  }

  /**
   * Questions, repeated submissions and cancellations at every instant of the move and at every
   * node, while writes are carried out late, answers are lost, and leaders end in between. With a
   * stay of half a second most late writes come after the job has left.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void answersStayConsistentWithLateWritesAndLostReplies(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    List<Job> jobs = play(cluster, seed);
    assertNoBreaches(cluster);
    jobs.forEach(job -> cluster.queryAllNodes(job.uid()));
    cluster.run(3);
    assertNoBreaches(cluster);
    for (Job job : jobs) {
      assertNotNull(cluster.checker.finalPhase(job.uid()), job::uid);
      assertArchivedCompletely(cluster, job);
    }
    assertEquals(0, cluster.controllers.get(cluster.leader()).jobsInMemory());
  }

  /** Plays this seed's history of archive moves to its quiet end, and returns the jobs. */
  static List<Job> play(SimulatedCluster cluster, long seed) {
    Random script = new Random(seed);
    cluster.setProbesAfterNews(true);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 16; i++) {
      JobKind kind = i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY;
      Job job = TestFixtures.job(i, kind, 1 + i % 3, 1);
      jobs.add(job);
      cluster.schedule(10_000 + 700L * i, () -> cluster.submit(job));
      cluster.schedule(22_000 + 900L * i, () -> cluster.cancel(job.uid()));
    }
    cluster.schedule(9_000, () -> cluster.lateTransactionProbability = 0.15);
    cluster.schedule(9_000, () -> cluster.lostStoreReplyProbability = 0.15);
    cluster.schedule(9_000, () -> cluster.repeatedHeartbeatProbability = 0.1);
    for (int i = 0; i < 4; i++) {
      cluster.schedule(
          14_000 + 8000L * i + script.nextInt(6000),
          () -> {
            if (cluster.leader() != null) {
              cluster.crashNode(cluster.leader(), 2000);
            }
          });
    }
    for (long ms = 22_000; ms < 60_000; ms += 190) {
      Job job = jobs.get(script.nextInt(jobs.size()));
      cluster.schedule(ms, () -> cluster.queryAndResubmitEverywhere(job.uid()));
      cluster.schedule(ms + 60, () -> cluster.cancelOnce("roost-" + script.nextInt(3), job.uid()));
    }
    cluster.run(62);
    cluster.clearFaults();
    cluster.run(40);
    return jobs;
  }

  /** An older version's node would deny what it does not find, so nothing leaves before. */
  @Test
  void nothingIsArchivedWhileAMemberMayRunAnOlderVersion() {
    SimulatedCluster cluster = newCluster(5);
    for (String node : cluster.nodeNames()) {
      cluster.olderVersionNodes.add(node);
      cluster.startNode(node);
    }
    List<Job> jobs = runJobsToTheirEnd(cluster);
    for (String node : cluster.nodeNames()) {
      jobs.forEach(job -> assertFalse(isArchived(cluster, job), node));
      cluster.olderVersionNodes.remove(node);
      cluster.crashNode(node, 500);
      cluster.run(8);
    }
    cluster.run(20);
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
    assertNoBreaches(cluster);
  }

  /** All members run the new version, but it is not stored: one may still be downgraded. */
  @Test
  void nothingIsArchivedBeforeTheVersionIsStored() {
    SimulatedCluster cluster = newCluster(6);
    cluster.store.corrupt(StoreKeys.CLUSTER_VERSION);
    List<Job> jobs = runJobsToTheirEnd(cluster);
    jobs.forEach(job -> assertFalse(isArchived(cluster, job)));
    assertNoBreaches(cluster);
  }

  /** Thirty jobs, half of them cancelled right after their submission and the others later. */
  private static List<Job> submitJobsAndCancelThem(SimulatedCluster cluster) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 30; i++) {
      JobKind kind = i % 5 == 0 ? JobKind.SERVICE : JobKind.ARRAY;
      Job job = TestFixtures.job(i, kind, 1, 1);
      jobs.add(job);
      cluster.schedule(1000 + 200L * i, () -> cluster.submit(job));
      cluster.schedule(1300 + 200L * i + (i % 2) * 20_000, () -> cluster.cancel(job.uid()));
    }
    return jobs;
  }

  /**
   * A cluster that has run without an archive for long: its first new leader has no room for all
   * ended jobs. Memory once held every one of them, and no leader got through its rebuilding.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void leaderWithoutMemoryForAllFinishedJobsArchivesThemInPages(long seed) {
    int most = 4;
    SimulatedCluster cluster =
        new SimulatedCluster(seed, TestFixtures.archivingSettings(3600, most));
    for (String node : cluster.nodeNames()) {
      cluster.olderVersionNodes.add(node);
      cluster.startNode(node);
    }
    List<Job> jobs = submitJobsAndCancelThem(cluster);
    Job alive = TestFixtures.job(40, JobKind.SERVICE, 2, 1);
    cluster.submit(alive);
    cluster.run(60);
    cluster.olderVersionNodes.clear();
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 500));
    cluster.run(4);
    while (cluster.leader() == null || cluster.store.get(StoreKeys.CLUSTER_VERSION) == null) {
      cluster.run(0.1);
    }
    // Besides those: a page of the sweep, services whose tasks are not settled yet, and one alive.
    int inMemory = cluster.controllers.get(cluster.leader()).jobsInMemory();
    assertTrue(inMemory <= most + 7 + 6 + 1, inMemory + " jobs are in memory");
    jobs.forEach(job -> cluster.queryAndResubmitEverywhere(job.uid()));
    cluster.run(1);
    if (seed % 2 == 0) {
      cluster.crashNode(cluster.leader(), 1000);
    }
    cluster.run(60);
    assertNoBreaches(cluster);
    jobs.forEach(job -> cluster.queryAndResubmitEverywhere(job.uid()));
    cluster.run(5);
    assertNoBreaches(cluster);
    long left = jobs.stream().filter(job -> !isArchived(cluster, job)).count();
    assertTrue(left <= most, left + " are not archived");
    assertEquals(2, cluster.checker.runningTasks(alive.uid()));
  }

  /** The content of an unreadable record is unknown, so nothing is concluded from the others. */
  @Test
  void frozenJobIsNotArchived() {
    SimulatedCluster cluster = newCluster(7);
    Job service = TestFixtures.job(1, JobKind.SERVICE, 2, 1);
    cluster.submit(service);
    cluster.run(10);
    cluster.store.corrupt(StoreKeys.allocation(service.uid()));
    cluster.crashNode(cluster.leader(), 1000);
    cluster.run(5);
    cluster.cancel(service.uid());
    cluster.run(60);
    assertFalse(isArchived(cluster, service));
    assertNotNull(cluster.store.get(StoreKeys.job(service.uid())));
    assertNoBreaches(cluster);
  }

  /** A task of a cancelled job on an unreachable machine counts until it has surely ended. */
  @Test
  void cancelledJobIsNotArchivedBeforeItsTasksHaveSurelyEnded() {
    SimulatedCluster cluster = newCluster(8);
    Job service = TestFixtures.job(1, JobKind.SERVICE, 1, 1);
    cluster.submit(service);
    cluster.run(15);
    FakeWorker worker =
        cluster.workers().stream()
            .filter(it -> !it.nextHeartbeat().tasks().isEmpty())
            .findFirst()
            .get();
    worker.isHanging = true;
    cluster.cancel(service.uid());
    cluster.run(4);
    assertEquals(JobStatus.Phase.ABORTED, cluster.checker.finalPhase(service.uid()));
    assertFalse(isArchived(cluster, service), "its task may still run");
    cluster.run(60);
    assertArchivedCompletely(cluster, service);
    assertNoBreaches(cluster);
  }

  /** After the limits have fallen there is less to be had beside starts, but not nothing. */
  @Test
  void jobsAreArchivedUnderLowerLimits() {
    SimulatedCluster cluster = newCluster(9);
    cluster.store.lowerLimits(2, 12, cluster.nowMs);
    List<Job> jobs = runJobsToTheirEnd(cluster);
    cluster.run(20);
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
    assertNoBreaches(cluster);
  }

  /** Work has the writes first: while they are short nothing is archived. */
  @Test
  void archivingUsesOnlySpareWrites() {
    ControllerContext context =
        new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
    StoreClient store = new StoreClient(context);
    store.actAsLeader();
    context.advanceBy(1000);
    assertTrue(store.hasSpareWriteCapacity(8));
    // 0.85 of 40 writes a second may be written at once.
    ImmutableList.Builder<StoreRequest.Change> changes = ImmutableList.builder();
    for (int i = 0; i < 14; i++) {
      changes.add(StoreRequest.Change.remove("key" + i));
    }
    store.send(
        new StoreRequest.Transaction(ImmutableList.of(), changes.build()),
        RequestPriority.START,
        reply -> {});
    assertFalse(store.hasSpareWriteCapacity(8));
    context.advanceBy(1000);
    assertTrue(store.hasSpareWriteCapacity(8));
  }
}
