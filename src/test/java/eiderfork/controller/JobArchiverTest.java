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
 * Tests that terminal jobs are archived, that is, removed from the leader's memory and from the
 * keys that a new leader reads, and that no late write restores them.
 */
class JobArchiverTest {
  private static final double RETENTION_S = 0.5;

  static SimulatedCluster newCluster(long seed) {
    return new SimulatedCluster(seed, TestFixtures.archivingSettings(RETENTION_S));
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  private static void assertNoViolations(SimulatedCluster cluster) {
    assertEquals(List.of(), cluster.checker.violations);
  }

  private static boolean isArchived(SimulatedCluster cluster, Job job) {
    return cluster.store.get(StoreKeys.archivedJob(job.uid())) != null;
  }

  /** Asserts that the archived record with the final state is all that is stored of the job. */
  private static void assertArchivedCompletely(SimulatedCluster cluster, Job job) {
    assertInstanceOf(
        StoredRecord.ArchivedJob.class,
        cluster.store.get(StoreKeys.archivedJob(job.uid())),
        job::uid);
    assertNull(cluster.store.get(StoreKeys.job(job.uid())), job::uid);
    assertNull(cluster.store.get(StoreKeys.allocation(job.uid())), job::uid);
    assertNull(cluster.store.get(StoreKeys.cancellation(job.uid())), job::uid);
  }

  /** Runs an array until it is done and a service until it is cancelled, and returns both. */
  private static List<Job> runJobsUntilTerminal(SimulatedCluster cluster) {
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

  private static void cancelLateAsOlderVersion(SimulatedCluster cluster, Job job) {
    StoreRequest.Condition neverStarted =
        new StoreRequest.Condition(StoreKeys.allocation(job.uid()), 0);
    write(
        cluster,
        neverStarted,
        StoreKeys.cancellation(job.uid()),
        new StoredRecord.Cancellation(job.uid()));
  }

  @Test
  void archivedJobsAreRemovedFromKeysAndMemoryAndAnsweredByEveryNode() {
    SimulatedCluster cluster = newCluster(1);
    List<Job> jobs = runJobsUntilTerminal(cluster);
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
    assertEquals(0, cluster.controllers.get(cluster.leader()).jobsInMemory());
    for (Job job : jobs) {
      cluster.queryAndResubmitEverywhere(job.uid());
      for (String node : cluster.nodeNames()) {
        cluster.cancelOnce(node, job.uid());
      }
    }
    int answersBefore = cluster.checker.answeredRequests;
    cluster.run(5);
    assertEquals(answersBefore + 2 * 9, cluster.checker.answeredRequests);
    assertNoViolations(cluster);
    assertEquals(JobStatus.Phase.DONE, cluster.checker.finalPhase(jobs.get(0).uid()));
    assertEquals(JobStatus.Phase.ABORTED, cluster.checker.finalPhase(jobs.get(1).uid()));
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
  }

  /** Restarted processes have no status in memory and answer from the archived record alone. */
  @Test
  void restartedNodesAnswerFromTheArchivedRecord() {
    SimulatedCluster cluster = newCluster(2);
    List<Job> jobs = runJobsUntilTerminal(cluster);
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 500));
    cluster.run(10);
    jobs.forEach(job -> cluster.queryAndResubmitEverywhere(job.uid()));
    int answersBefore = cluster.checker.answeredRequests;
    cluster.run(5);
    assertEquals(answersBefore + 2 * 6, cluster.checker.answeredRequests);
    assertNoViolations(cluster);
  }

  @Test
  void jobsAreArchivedAfterTheConfiguredRetention() {
    SimulatedCluster cluster = new SimulatedCluster(3, TestFixtures.archivingSettings(60));
    List<Job> jobs = runJobsUntilTerminal(cluster);
    jobs.forEach(job -> assertFalse(isArchived(cluster, job)));
    cluster.run(60);
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
  }

  /**
   * A node of an older version writes submissions without a check for an archived record. Such a
   * write, executed minutes late, recreates the spec of an archived job. The job must not start
   * again and must keep its status: the first write of its allocation is conditional on the absence
   * of the archived record, and the leader looks for that record before it answers from memory for
   * a job without an allocation.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void lateSubmissionOfAnOlderVersionDoesNotRestoreArchivedJobs(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    List<Job> jobs = runJobsUntilTerminal(cluster);
    int startsBefore = cluster.checker.startCount;
    jobs.forEach(job -> submitLateAsOlderVersion(cluster, job));
    for (int ms = 0; ms < 2000; ms += 70) {
      cluster.schedule(
          ms, () -> jobs.forEach(job -> cluster.queryAndResubmitEverywhere(job.uid())));
    }
    if (seed % 2 == 0) {
      cluster.schedule(seed * 40, () -> cluster.crashNode(cluster.leader(), 1000));
    }
    cluster.run(20);
    assertNoViolations(cluster);
    assertEquals(startsBefore, cluster.checker.startCount);
    // The recreated spec is removed, too, so that later leaders don't load it.
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
  }

  /**
   * A late submission as above, but without capacity, so that no allocation write checks for the
   * archived record.
   */
  @Test
  void resubmittedArchivedJobIsAnsweredFromTheArchive() {
    SimulatedCluster cluster = newCluster(4);
    Job job = runJobsUntilTerminal(cluster).get(0);
    cluster.cloud.isDown = true;
    cluster.workers().forEach(worker -> cluster.failMachine(worker.machine.name()));
    cluster.run(60);
    submitLateAsOlderVersion(cluster, job);
    cluster.run(3);
    // Processes that have answered with the final status would answer from their cache.
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 500));
    for (int ms = 3000; ms < 9000; ms += 70) {
      cluster.schedule(ms, () -> cluster.queryAllNodes(job.uid()));
    }
    cluster.run(10);
    assertNoViolations(cluster);
  }

  /**
   * A cancellation of an older version, requested before the job started, is executed when the job
   * is done and archived.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void lateCancellationOfAnOlderVersionChangesNothing(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    Job done = runJobsUntilTerminal(cluster).get(0);
    cluster.checker.recordCancellation(done.uid());
    cancelLateAsOlderVersion(cluster, done);
    if (seed % 2 == 0) {
      submitLateAsOlderVersion(cluster, done);
    }
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 200 + seed * 50));
    // Queried early, the nodes would answer later queries from their cache.
    int firstQueryMs = seed % 3 == 0 ? 0 : 7000;
    for (int ms = firstQueryMs; ms < 9000; ms += 70) {
      cluster.schedule(ms, () -> cluster.queryAllNodes(done.uid()));
    }
    cluster.schedule(9000, () -> cluster.cancelOnce("roost-0", done.uid()));
    cluster.run(15);
    assertNoViolations(cluster);
    assertEquals(JobStatus.Phase.DONE, cluster.checker.finalPhase(done.uid()));
    assertEquals(
        new StoredRecord.ArchivedJob(JobStatus.Phase.DONE, 3),
        cluster.store.get(StoreKeys.archivedJob(done.uid())));
  }

  /**
   * A late submission and a late cancellation recreate the spec and the cancellation of a done job,
   * and the new leader has no reason yet to look for the archived record.
   */
  @Test
  void recreatedAndCancelledDoneJobKeepsItsStatus() {
    SimulatedCluster cluster = new SimulatedCluster(10, TestFixtures.archivingSettings(20));
    Job done = runJobsUntilTerminal(cluster).get(0);
    cluster.run(30);
    assertArchivedCompletely(cluster, done);
    cluster.checker.recordCancellation(done.uid());
    submitLateAsOlderVersion(cluster, done);
    cancelLateAsOlderVersion(cluster, done);
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
    assertNoViolations(cluster);
    assertEquals(JobStatus.Phase.DONE, cluster.checker.finalPhase(done.uid()));
    assertNull(cluster.store.get(StoreKeys.job(done.uid())));
  }

  /**
   * Jobs are queried, resubmitted and cancelled at every node throughout their archiving, while
   * writes are executed late, replies are lost and leaders crash. With a retention of half a second
   * most late writes are executed after the job is archived.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void answersStayConsistentWithLateWritesAndLostReplies(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    List<Job> jobs = play(cluster, seed);
    assertNoViolations(cluster);
    jobs.forEach(job -> cluster.queryAllNodes(job.uid()));
    cluster.run(3);
    assertNoViolations(cluster);
    for (Job job : jobs) {
      assertNotNull(cluster.checker.finalPhase(job.uid()), job::uid);
      assertArchivedCompletely(cluster, job);
    }
    assertEquals(0, cluster.controllers.get(cluster.leader()).jobsInMemory());
  }

  /** Plays this seed's history of archiving, then ends all faults, and returns the jobs. */
  static List<Job> play(SimulatedCluster cluster, long seed) {
    Random random = new Random(seed);
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
          14_000 + 8000L * i + random.nextInt(6000),
          () -> {
            if (cluster.leader() != null) {
              cluster.crashNode(cluster.leader(), 2000);
            }
          });
    }
    for (long ms = 22_000; ms < 60_000; ms += 190) {
      Job job = jobs.get(random.nextInt(jobs.size()));
      cluster.schedule(ms, () -> cluster.queryAndResubmitEverywhere(job.uid()));
      cluster.schedule(ms + 60, () -> cluster.cancelOnce("roost-" + random.nextInt(3), job.uid()));
    }
    cluster.run(62);
    cluster.clearFaults();
    cluster.run(40);
    return jobs;
  }

  /**
   * A node of an older version would answer that an archived job is unknown, so nothing is archived
   * before the last node is upgraded.
   */
  @Test
  void nothingIsArchivedWhileAMemberMayRunAnOlderVersion() {
    SimulatedCluster cluster = newCluster(5);
    for (String node : cluster.nodeNames()) {
      cluster.olderVersionNodes.add(node);
      cluster.startNode(node);
    }
    List<Job> jobs = runJobsUntilTerminal(cluster);
    for (String node : cluster.nodeNames()) {
      jobs.forEach(job -> assertFalse(isArchived(cluster, job), node));
      cluster.olderVersionNodes.remove(node);
      cluster.crashNode(node, 500);
      cluster.run(8);
    }
    cluster.run(20);
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
    assertNoViolations(cluster);
  }

  /** All members run the new version, but until it is stored one may still be downgraded. */
  @Test
  void nothingIsArchivedBeforeTheVersionIsStored() {
    SimulatedCluster cluster = newCluster(6);
    cluster.store.corrupt(StoreKeys.CLUSTER_VERSION);
    List<Job> jobs = runJobsUntilTerminal(cluster);
    jobs.forEach(job -> assertFalse(isArchived(cluster, job)));
    assertNoViolations(cluster);
  }

  /**
   * Submits thirty jobs and cancels half of them right after their submission, the others 20 s
   * later.
   */
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
   * After a long time without an archive, the first leader of the new version has no memory for all
   * finished jobs. While leaders held all of them in memory, none completed its recovery.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void leaderWithoutMemoryForAllFinishedJobsArchivesThemInPages(long seed) {
    int maxEndedJobs = 4;
    SimulatedCluster cluster =
        new SimulatedCluster(seed, TestFixtures.archivingSettings(3600, maxEndedJobs));
    for (String node : cluster.nodeNames()) {
      cluster.olderVersionNodes.add(node);
      cluster.startNode(node);
    }
    List<Job> jobs = submitJobsAndCancelThem(cluster);
    Job runningService = TestFixtures.job(40, JobKind.SERVICE, 2, 1);
    cluster.submit(runningService);
    cluster.run(60);
    cluster.olderVersionNodes.clear();
    cluster.nodeNames().forEach(node -> cluster.crashNode(node, 500));
    cluster.run(4);
    while (cluster.leader() == null || cluster.store.get(StoreKeys.CLUSTER_VERSION) == null) {
      cluster.run(0.1);
    }
    // Besides the maximum: a page of loaded jobs, services whose tasks are not settled yet, and the
    // running service.
    int jobsInMemory = cluster.controllers.get(cluster.leader()).jobsInMemory();
    assertTrue(jobsInMemory <= maxEndedJobs + 7 + 6 + 1, jobsInMemory + " jobs are in memory");
    jobs.forEach(job -> cluster.queryAndResubmitEverywhere(job.uid()));
    cluster.run(1);
    if (seed % 2 == 0) {
      cluster.crashNode(cluster.leader(), 1000);
    }
    cluster.run(60);
    assertNoViolations(cluster);
    jobs.forEach(job -> cluster.queryAndResubmitEverywhere(job.uid()));
    cluster.run(5);
    assertNoViolations(cluster);
    long notArchivedCount = jobs.stream().filter(job -> !isArchived(cluster, job)).count();
    assertTrue(notArchivedCount <= maxEndedJobs, notArchivedCount + " jobs are not archived");
    assertEquals(2, cluster.checker.runningTasks(runningService.uid()));
  }

  /**
   * The content of an unreadable record is unknown, so nothing is concluded from the job's other
   * records.
   */
  @Test
  void jobWithAnUnreadableRecordIsNotArchived() {
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
    assertNoViolations(cluster);
  }

  /**
   * A task of a cancelled job may run on an unreachable machine until its worker's lease has surely
   * expired.
   */
  @Test
  void cancelledJobIsNotArchivedBeforeItsTasksAreCertainToHaveEnded() {
    SimulatedCluster cluster = newCluster(8);
    Job service = TestFixtures.job(1, JobKind.SERVICE, 1, 1);
    cluster.submit(service);
    cluster.run(15);
    FakeWorker worker =
        cluster.workers().stream()
            .filter(candidate -> !candidate.nextHeartbeat().tasks().isEmpty())
            .findFirst()
            .get();
    worker.isHanging = true;
    cluster.cancel(service.uid());
    cluster.run(4);
    assertEquals(JobStatus.Phase.ABORTED, cluster.checker.finalPhase(service.uid()));
    assertFalse(isArchived(cluster, service), "archived although its task may still run");
    cluster.run(60);
    assertArchivedCompletely(cluster, service);
    assertNoViolations(cluster);
  }

  /** With lower limits of the store, fewer writes are left for archiving, but not none. */
  @Test
  void jobsAreArchivedUnderLowerLimits() {
    SimulatedCluster cluster = newCluster(9);
    cluster.store.lowerLimits(2, 12, cluster.nowMs);
    List<Job> jobs = runJobsUntilTerminal(cluster);
    cluster.run(20);
    jobs.forEach(job -> assertArchivedCompletely(cluster, job));
    assertNoViolations(cluster);
  }

  /** Writes for running jobs take precedence: nothing is archived while the write rate is short. */
  @Test
  void archivingUsesOnlySpareWrites() {
    ControllerContext context =
        new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
    StoreClient store = new StoreClient(context);
    store.actAsLeader();
    context.advanceBy(1000);
    assertTrue(store.hasSpareWriteCapacity(8));
    // The client may send 0.85 of the limit of 40 writes a second at once.
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
