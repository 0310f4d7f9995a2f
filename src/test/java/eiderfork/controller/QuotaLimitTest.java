package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that usage never exceeds a team's limit during failures, and reaches it if jobs wait. */
class QuotaLimitTest {
  /** Returns a job of the red team, which may use ten GPUs. */
  private static Job redJob(int number, JobKind kind, int tasks, double gpus) {
    return TestFixtures.job(number, kind, tasks, gpus, "red", Priority.HIGH, false, false);
  }

  /** Submits services that use all of the red team's limit, and then as many that wait. */
  private static List<Job> fillTeamLimit(SimulatedCluster cluster) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 5; i++) {
      jobs.add(redJob(i, JobKind.SERVICE, 1, 2));
    }
    jobs.forEach(cluster::submit);
    cluster.run(25);
    assertEquals(5, cluster.checker.totalRunningTasks());
    for (int i = 6; i <= 10; i++) {
      Job next = redJob(i, JobKind.SERVICE, 1, 2);
      jobs.add(next);
      cluster.submit(next);
    }
    cluster.run(2);
    return jobs;
  }

  private static List<FakeWorker> busyWorkers(SimulatedCluster cluster) {
    return cluster.workers().stream().filter(worker -> !worker.taskIds().isEmpty()).toList();
  }

  /**
   * A team is at its limit, its jobs on machines that hang or are cut off are cancelled, and the
   * leader crashes. The cancelled tasks count towards the limit until their machines report or
   * their leases expire; a new leader restores this from the alloc records.
   */
  @ParameterizedTest
  @ValueSource(ints = {-1500, -700, -300, -100, 0, 50, 150, 400, 900, 2000, 4000, 8000})
  void cancelledTasksOnUnreachableMachinesCountAcrossAFailover(int crashAfterMs) {
    for (boolean hang : new boolean[] {true, false}) {
      SimulatedCluster cluster = new SimulatedCluster(5);
      List<Job> jobs = fillTeamLimit(cluster);
      List<FakeWorker> unreachableWorkers = busyWorkers(cluster);
      cluster.schedule(
          2000,
          () -> {
            for (FakeWorker worker : unreachableWorkers) {
              if (hang) {
                worker.isHanging = true;
                cluster.schedule(8000, () -> worker.isHanging = false);
              } else {
                cluster.cutLinksTo(worker.machine.name(), 8000);
                cluster.cutLinksFrom(worker.machine.name(), 8000);
              }
            }
          });
      cluster.schedule(2050, () -> jobs.subList(0, 5).forEach(job -> cluster.cancel(job.uid())));
      cluster.schedule(2050 + crashAfterMs, () -> cluster.crashNode(cluster.leader(), 3000));
      cluster.run(40);
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
      assertEquals(5, cluster.checker.totalRunningTasks(), "running tasks after the cancellations");
    }
  }

  /** The same, but the machines are unreachable for longer than a lease, and some never return. */
  @ParameterizedTest
  @ValueSource(ints = {0, 300, 1500, 6000, 12_000})
  void quotaIsReleasedOnceTheLeasesHaveExpired(int crashAfterMs) {
    SimulatedCluster cluster = new SimulatedCluster(6);
    List<Job> jobs = fillTeamLimit(cluster);
    List<FakeWorker> unreachableWorkers = busyWorkers(cluster);
    for (int i = 0; i < unreachableWorkers.size(); i++) {
      FakeWorker worker = unreachableWorkers.get(i);
      if (i % 2 == 0) {
        worker.isHanging = true;
        cluster.schedule(24_000, () -> worker.isHanging = false);
      } else {
        cluster.failMachine(worker.machine.name());
      }
    }
    jobs.subList(0, 5).forEach(job -> cluster.cancel(job.uid()));
    cluster.schedule(crashAfterMs, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    assertEquals(5, cluster.checker.totalRunningTasks());
  }

  /**
   * A team is at its limit, the leader crashes, and two jobs of the team are cancelled while there
   * is no leader.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 500, 1000, 1500, 2000, 2500, 3000, 3300, 3400, 3500, 3700, 4000, 5000})
  void cancellationWithoutALeaderReleasesQuotaOnce(int cancelAfterMs) {
    SimulatedCluster cluster = new SimulatedCluster(8);
    List<Job> jobs = fillTeamLimit(cluster);
    FakeWorker unreachableWorker = busyWorkers(cluster).get(0);
    cluster.cutLinksTo(unreachableWorker.machine.name(), 9000);
    cluster.cutLinksFrom(unreachableWorker.machine.name(), 9000);
    cluster.crashNode(cluster.leader(), 6000);
    cluster.schedule(cancelAfterMs, () -> cluster.cancel(jobs.get(0).uid()));
    cluster.schedule(cancelAfterMs + 100, () -> cluster.cancel(jobs.get(1).uid()));
    cluster.run(40);
    ExpectedOutcome.assertNoViolations(cluster);
    assertEquals(5, cluster.checker.totalRunningTasks());
  }

  /**
   * Tasks of a team at its limit end while the transactions that record this are late and leaders
   * crash: a settled reservation counts towards the limit until its settlement is committed,
   * because a new leader would start the task again.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void uncommittedSettlementsCountTowardsTheLimit(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.run(3);
    cluster.lateTransactionProbability = 0.4;
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 16; i++) {
      Job job = redJob(i, JobKind.ARRAY, 5, 1);
      jobs.add(job);
      cluster.schedule(i * 100L, () -> cluster.submit(job));
    }
    for (int i = 0; i < 6; i++) {
      cluster.schedule(
          9000 + i * 6000L + 311 * seed,
          () -> {
            if (cluster.leader() != null) {
              cluster.crashNode(cluster.leader(), 500);
            }
          });
    }
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /**
   * A job is cancelled while its start command is on the way to a machine whose reports do not show
   * the task yet. It counts towards the limit until a report shows a token higher than that of the
   * command, because the command may still be executed.
   */
  @ParameterizedTest
  @ValueSource(ints = {100, 200, 300, 400, 500, 600, 700, 800, 900, 1000, 1100, 1200, 1300, 1400})
  void startCommandInFlightCountsUntilItCannotBeExecuted(int cancelAfterMs) {
    for (int commandDelayMs : new int[] {700, 1100, 1500, 1900}) {
      SimulatedCluster cluster = new SimulatedCluster(11);
      List<Job> jobs = new ArrayList<>();
      for (int i = 1; i <= 4; i++) {
        jobs.add(redJob(i, JobKind.SERVICE, 1, 2));
      }
      jobs.forEach(cluster::submit);
      cluster.run(25);
      cluster.commandDelayMs = commandDelayMs;
      Job last = redJob(5, JobKind.SERVICE, 1, 2);
      Job waiting = redJob(6, JobKind.SERVICE, 1, 2);
      jobs.add(last);
      jobs.add(waiting);
      cluster.submit(last);
      cluster.schedule(40, () -> cluster.submit(waiting));
      cluster.schedule(cancelAfterMs, () -> cluster.cancel(last.uid()));
      // From here on no reports arrive, so no response stops the task that the late command starts.
      cluster.schedule(
          cancelAfterMs + commandDelayMs / 2,
          () ->
              cluster
                  .workers()
                  .forEach(worker -> cluster.cutLinksFrom(worker.machine.name(), 4000)));
      cluster.run(15);
      ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    }
  }

  /** Jobs of one task arrive at four per second for two minutes; a quarter of them is cancelled. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void limitHoldsAtFourShortJobsPerSecond(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.delayProbability = 0.01;
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 480; i++) {
      Job job =
          i % 2 == 0
              ? redJob(i, JobKind.ARRAY, 1, 1)
              : TestFixtures.job(i, JobKind.ARRAY, 1, i % 4 == 1 ? 1 : 0);
      jobs.add(job);
      cluster.schedule(10_000 + i * 250L, () -> cluster.submit(job));
      if (i % 4 == 0) {
        cluster.schedule(10_000 + i * 250L + (i * 37) % 6000, () -> cluster.cancel(job.uid()));
      }
    }
    cluster.schedule(60_000, () -> cluster.crashNode(cluster.leader(), 3000));
    cluster.run(150);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** There is more work, of all priorities, than capacity, and messages are delayed. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void limitHoldsWithMoreWorkThanCapacityOverSlowLinks(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.cloud.defaultStock = 1;
    cluster.delayProbability = 0.2;
    cluster.maxDelayMs = 1500;
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 24; i++) {
      Priority priority = Priority.values()[i % 4];
      Job job =
          TestFixtures.job(i, JobKind.ARRAY, 1 + i % 6, i % 3, "blue", priority, false, i % 2 == 0);
      jobs.add(job);
      cluster.schedule(i * 700L, () -> cluster.submit(job));
    }
    cluster.run(60);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
    assertTrue(cluster.checker.startCount >= jobs.stream().mapToInt(Job::tasks).sum());
  }
}
