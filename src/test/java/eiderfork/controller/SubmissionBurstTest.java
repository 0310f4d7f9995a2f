package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderfork.config.Settings;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Many users submit jobs while a new leader has not recovered yet. */
class SubmissionBurstTest {
  private static final int NODE_COUNT = 7;
  private static final int JOB_COUNT = 270;

  /** The time for which users retry a submission. */
  private static final int USER_RETRY_S = 60;

  private static final Settings.StoreLimits STORE_LIMITS = new Settings.StoreLimits(60, 20, 32, 16);

  private static LongStream seeds() {
    return LongStream.rangeClosed(1, 6);
  }

  /**
   * The lookups of submissions go before the reads of the recovery. While they take the leader's
   * whole request rate, the recovery does not end, and no job is accepted.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void submissionsDoNotKeepALeaderFromRecovering(long seed) {
    Settings settings =
        TestFixtures.settings(
            "roost-0", TestFixtures.SHORT_LEASES, STORE_LIMITS, 0.34, 800, NODE_COUNT);
    SimulatedCluster cluster = new SimulatedCluster(seed, settings, NODE_COUNT);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= JOB_COUNT; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 1, 0);
      jobs.add(job);
      cluster.submit(job);
    }
    cluster.run(USER_RETRY_S);
    long accepted = jobs.stream().filter(job -> cluster.checker.wasAccepted(job.uid())).count();
    assertEquals(JOB_COUNT, accepted, "accepted jobs");
  }
}
