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

  static SimulatedCluster world(long seed) {
    return new SimulatedCluster(seed, TestFixtures.archivingAfter(STAY_S));
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  private static void assertNoBreaches(SimulatedCluster world) {
    assertEquals(List.of(), world.checker.breaches);
  }

  private static boolean isArchived(SimulatedCluster world, Job job) {
    return world.state.get(StoreKeys.ended(job.uid())) != null;
  }

  /** Nothing of the job is left but the record of its final state. */
  private static void assertArchivedCompletely(SimulatedCluster world, Job job) {
    assertInstanceOf(
        StoredRecord.ArchivedJob.class, world.state.get(StoreKeys.ended(job.uid())), job::uid);
    assertNull(world.state.get(StoreKeys.job(job.uid())), job::uid);
    assertNull(world.state.get(StoreKeys.alloc(job.uid())), job::uid);
    assertNull(world.state.get(StoreKeys.cancellation(job.uid())), job::uid);
  }

  /** An array that is done, and a service that is cancelled. */
  private static List<Job> runJobsToTheirEnd(SimulatedCluster world) {
    Job array = TestFixtures.job(1, JobKind.ARRAY, 3, 1);
    Job service = TestFixtures.job(2, JobKind.SERVICE, 2, 1);
    world.submit(array);
    world.submit(service);
    world.at(12_000, () -> world.abort(service.uid()));
    world.run(40);
    return List.of(array, service);
  }

  private static void write(
      SimulatedCluster world, StoreRequest.Condition condition, String key, StoredRecord record) {
    world.state.execute(
        new StoreRequest.Transaction(
            ImmutableList.of(condition), ImmutableList.of(StoreRequest.Change.put(key, record))),
        world.nowMs,
        reply -> assertInstanceOf(Reply.Committed.class, reply));
  }

  private static void submitLateAsOlderVersion(SimulatedCluster world, Job job) {
    String key = StoreKeys.job(job.uid());
    write(world, new StoreRequest.Condition(key, 0), key, new StoredRecord.JobSpec(job));
  }

  private static void abortLateAsOlderVersion(SimulatedCluster world, Job job) {
    StoreRequest.Condition neverStarted = new StoreRequest.Condition(StoreKeys.alloc(job.uid()), 0);
    write(
        world,
        neverStarted,
        StoreKeys.cancellation(job.uid()),
        new StoredRecord.Cancellation(job.uid()));
  }

  @Test
  void archivedJobsLeaveKeysAndMemoryAndEveryNodeAnswersForThem() {
    SimulatedCluster world = world(1);
    List<Job> jobs = runJobsToTheirEnd(world);
    jobs.forEach(job -> assertArchivedCompletely(world, job));
    assertEquals(0, world.nodes.get(world.leader()).jobsInMemory());
    for (Job job : jobs) {
      world.lookClosely(job.uid());
      for (String node : world.all()) {
        world.abortAt(node, job.uid());
      }
    }
    int answers = world.checker.answers;
    world.run(5);
    assertEquals(answers + 2 * 9, world.checker.answers);
    assertNoBreaches(world);
    assertEquals(JobStatus.Phase.DONE, world.checker.finalStance(jobs.get(0).uid()));
    assertEquals(JobStatus.Phase.ABORTED, world.checker.finalStance(jobs.get(1).uid()));
    jobs.forEach(job -> assertArchivedCompletely(world, job));
  }

  /** Processes that remember nothing answer from the archived record alone. */
  @Test
  void restartedNodesAnswerForArchivedJobs() {
    SimulatedCluster world = world(2);
    List<Job> jobs = runJobsToTheirEnd(world);
    world.all().forEach(node -> world.crash(node, 500));
    world.run(10);
    jobs.forEach(job -> world.lookClosely(job.uid()));
    int answers = world.checker.answers;
    world.run(5);
    assertEquals(answers + 2 * 6, world.checker.answers);
    assertNoBreaches(world);
  }

  @Test
  void jobsAreArchivedAfterTheConfiguredRetention() {
    SimulatedCluster world = new SimulatedCluster(3, TestFixtures.archivingAfter(60));
    List<Job> jobs = runJobsToTheirEnd(world);
    jobs.forEach(job -> assertFalse(isArchived(world, job)));
    world.run(60);
    jobs.forEach(job -> assertArchivedCompletely(world, job));
  }

  /**
   * The write of a submission that a process of an older version sent minutes ago knows no archive.
   * Guards: the condition of a job's first alloc write, and the look into the archive before memory
   * answers for a job without one.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void lateSubmissionOfAnOlderVersionRestoresNothing(long seed) {
    SimulatedCluster world = world(seed);
    List<Job> jobs = runJobsToTheirEnd(world);
    int starts = world.checker.starts;
    jobs.forEach(job -> submitLateAsOlderVersion(world, job));
    for (int ms = 0; ms < 2000; ms += 70) {
      world.at(ms, () -> jobs.forEach(job -> world.lookClosely(job.uid())));
    }
    if (seed % 2 == 0) {
      world.at(seed * 40, () -> world.crash(world.leader(), 1000));
    }
    world.run(20);
    assertNoBreaches(world);
    assertEquals(starts, world.checker.starts);
    // The copy itself goes, too, so that later leaders are not bothered by it.
    jobs.forEach(job -> assertArchivedCompletely(world, job));
  }

  /** The same without capacity, so that no allocation write checks for the archived record. */
  @Test
  void resubmittedArchivedJobIsAnsweredFromTheArchive() {
    SimulatedCluster world = world(4);
    Job job = runJobsToTheirEnd(world).get(0);
    world.cloud.isDown = true;
    world.workers().forEach(worker -> world.die(worker.machine.name()));
    world.run(60);
    submitLateAsOlderVersion(world, job);
    world.run(3);
    // A process that has answered with the final status would answer from its cache.
    world.all().forEach(node -> world.crash(node, 500));
    for (int ms = 3000; ms < 9000; ms += 70) {
      world.at(ms, () -> world.queryAll(job.uid()));
    }
    world.run(10);
    assertNoBreaches(world);
  }

  /** A late cancellation of a job that had not started when it was requested, and is done now. */
  @ParameterizedTest
  @MethodSource("seeds")
  void lateCancellationOfAnOlderVersionChangesNothing(long seed) {
    SimulatedCluster world = world(seed);
    Job done = runJobsToTheirEnd(world).get(0);
    world.checker.userAborts(done.uid());
    abortLateAsOlderVersion(world, done);
    if (seed % 2 == 0) {
      submitLateAsOlderVersion(world, done);
    }
    world.all().forEach(node -> world.crash(node, 200 + seed * 50));
    // Queried early, the nodes would answer later queries from their cache.
    int firstAskedMs = seed % 3 == 0 ? 0 : 7000;
    for (int ms = firstAskedMs; ms < 9000; ms += 70) {
      world.at(ms, () -> world.queryAll(done.uid()));
    }
    world.at(9000, () -> world.abortAt("roost-0", done.uid()));
    world.run(15);
    assertNoBreaches(world);
    assertEquals(JobStatus.Phase.DONE, world.checker.finalStance(done.uid()));
    assertEquals(
        new StoredRecord.ArchivedJob(JobStatus.Phase.DONE, 3),
        world.state.get(StoreKeys.ended(done.uid())));
  }

  /** Both late writes at once, and a leader with no reason yet to check the job again. */
  @Test
  void cancelledCopyOfADoneJobDoesNotChangeItsStatus() {
    SimulatedCluster world = new SimulatedCluster(10, TestFixtures.archivingAfter(20));
    Job done = runJobsToTheirEnd(world).get(0);
    world.run(30);
    assertArchivedCompletely(world, done);
    world.checker.userAborts(done.uid());
    submitLateAsOlderVersion(world, done);
    abortLateAsOlderVersion(world, done);
    world.all().forEach(node -> world.crash(node, 500));
    world.run(8);
    for (String node : world.all()) {
      world.abortAt(node, done.uid());
    }
    world.run(3);
    world.lookClosely(done.uid());
    world.run(40);
    world.queryAll(done.uid());
    world.run(3);
    assertNoBreaches(world);
    assertEquals(JobStatus.Phase.DONE, world.checker.finalStance(done.uid()));
    assertNull(world.state.get(StoreKeys.job(done.uid())));
  }

  /**
   * Questions, repeated submissions and cancellations at every instant of the move and at every
   * node, while writes are carried out late, answers are lost, and leaders end in between. With a
   * stay of half a second most late writes come after the job has left.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void answersStayConsistentWithLateWritesAndLostReplies(long seed) {
    SimulatedCluster world = world(seed);
    List<Job> jobs = play(world, seed);
    assertNoBreaches(world);
    jobs.forEach(job -> world.queryAll(job.uid()));
    world.run(3);
    assertNoBreaches(world);
    for (Job job : jobs) {
      assertNotNull(world.checker.finalStance(job.uid()), job::uid);
      assertArchivedCompletely(world, job);
    }
    assertEquals(0, world.nodes.get(world.leader()).jobsInMemory());
  }

  /** Plays this seed's history of archive moves to its quiet end, and returns the jobs. */
  static List<Job> play(SimulatedCluster world, long seed) {
    Random script = new Random(seed);
    world.lookCloselyAtNews(true);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 16; i++) {
      JobKind kind = i % 3 == 0 ? JobKind.SERVICE : JobKind.ARRAY;
      Job job = TestFixtures.job(i, kind, 1 + i % 3, 1);
      jobs.add(job);
      world.at(10_000 + 700L * i, () -> world.submit(job));
      world.at(22_000 + 900L * i, () -> world.abort(job.uid()));
    }
    world.at(9_000, () -> world.lateWrites = 0.15);
    world.at(9_000, () -> world.lostAnswers = 0.15);
    world.at(9_000, () -> world.lateReports = 0.1);
    for (int i = 0; i < 4; i++) {
      world.at(
          14_000 + 8000L * i + script.nextInt(6000),
          () -> {
            if (world.leader() != null) {
              world.crash(world.leader(), 2000);
            }
          });
    }
    for (long ms = 22_000; ms < 60_000; ms += 190) {
      Job job = jobs.get(script.nextInt(jobs.size()));
      world.at(ms, () -> world.lookClosely(job.uid()));
      world.at(ms + 60, () -> world.abortAt("roost-" + script.nextInt(3), job.uid()));
    }
    world.run(62);
    world.quiet();
    world.run(40);
    return jobs;
  }

  /** An older version's node would deny what it does not find, so nothing leaves before. */
  @Test
  void nothingIsArchivedWhileAMemberMayRunAnOlderVersion() {
    SimulatedCluster world = world(5);
    for (String node : world.all()) {
      world.older.add(node);
      world.boot(node);
    }
    List<Job> jobs = runJobsToTheirEnd(world);
    for (String node : world.all()) {
      jobs.forEach(job -> assertFalse(isArchived(world, job), node));
      world.older.remove(node);
      world.crash(node, 500);
      world.run(8);
    }
    world.run(20);
    jobs.forEach(job -> assertArchivedCompletely(world, job));
    assertNoBreaches(world);
  }

  /** All members run the new version, but it is not stored: one may still be downgraded. */
  @Test
  void nothingIsArchivedBeforeTheVersionIsStored() {
    SimulatedCluster world = world(6);
    world.state.spoil(StoreKeys.CLUSTER_VERSION);
    List<Job> jobs = runJobsToTheirEnd(world);
    jobs.forEach(job -> assertFalse(isArchived(world, job)));
    assertNoBreaches(world);
  }

  /** Thirty jobs, half of them cancelled right after their submission and the others later. */
  private static List<Job> submitJobsAndCancelThem(SimulatedCluster world) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 30; i++) {
      JobKind kind = i % 5 == 0 ? JobKind.SERVICE : JobKind.ARRAY;
      Job job = TestFixtures.job(i, kind, 1, 1);
      jobs.add(job);
      world.at(1000 + 200L * i, () -> world.submit(job));
      world.at(1300 + 200L * i + (i % 2) * 20_000, () -> world.abort(job.uid()));
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
    SimulatedCluster world = new SimulatedCluster(seed, TestFixtures.archiving(3600, most));
    for (String node : world.all()) {
      world.older.add(node);
      world.boot(node);
    }
    List<Job> jobs = submitJobsAndCancelThem(world);
    Job alive = TestFixtures.job(40, JobKind.SERVICE, 2, 1);
    world.submit(alive);
    world.run(60);
    world.older.clear();
    world.all().forEach(node -> world.crash(node, 500));
    world.run(4);
    while (world.leader() == null || world.state.get(StoreKeys.CLUSTER_VERSION) == null) {
      world.run(0.1);
    }
    // Besides those: a page of the sweep, services whose tasks are not settled yet, and one alive.
    int inMemory = world.nodes.get(world.leader()).jobsInMemory();
    assertTrue(inMemory <= most + 7 + 6 + 1, inMemory + " jobs are in memory");
    jobs.forEach(job -> world.lookClosely(job.uid()));
    world.run(1);
    if (seed % 2 == 0) {
      world.crash(world.leader(), 1000);
    }
    world.run(60);
    assertNoBreaches(world);
    jobs.forEach(job -> world.lookClosely(job.uid()));
    world.run(5);
    assertNoBreaches(world);
    long left = jobs.stream().filter(job -> !isArchived(world, job)).count();
    assertTrue(left <= most, left + " are not archived");
    assertEquals(2, world.checker.running(alive.uid()));
  }

  /** The content of an unreadable record is unknown, so nothing is concluded from the others. */
  @Test
  void frozenJobIsNotArchived() {
    SimulatedCluster world = world(7);
    Job service = TestFixtures.job(1, JobKind.SERVICE, 2, 1);
    world.submit(service);
    world.run(10);
    world.state.spoil(StoreKeys.alloc(service.uid()));
    world.crash(world.leader(), 1000);
    world.run(5);
    world.abort(service.uid());
    world.run(60);
    assertFalse(isArchived(world, service));
    assertNotNull(world.state.get(StoreKeys.job(service.uid())));
    assertNoBreaches(world);
  }

  /** A task of a cancelled job on an unreachable machine counts until it has surely ended. */
  @Test
  void cancelledJobIsNotArchivedBeforeItsTasksHaveSurelyEnded() {
    SimulatedCluster world = world(8);
    Job service = TestFixtures.job(1, JobKind.SERVICE, 1, 1);
    world.submit(service);
    world.run(15);
    FakeWorker worker =
        world.workers().stream()
            .filter(it -> !it.nextHeartbeat().tasks().isEmpty())
            .findFirst()
            .get();
    worker.hanging = true;
    world.abort(service.uid());
    world.run(4);
    assertEquals(JobStatus.Phase.ABORTED, world.checker.finalStance(service.uid()));
    assertFalse(isArchived(world, service), "its task may still run");
    world.run(60);
    assertArchivedCompletely(world, service);
    assertNoBreaches(world);
  }

  /** After the limits have fallen there is less to be had beside starts, but not nothing. */
  @Test
  void jobsAreArchivedUnderLowerLimits() {
    SimulatedCluster world = world(9);
    world.state.lowerLimits(2, 12, world.nowMs);
    List<Job> jobs = runJobsToTheirEnd(world);
    world.run(20);
    jobs.forEach(job -> assertArchivedCompletely(world, job));
    assertNoBreaches(world);
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
