package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests random histories in which teams lend and borrow quota, with all faults of {@link
 * QuotaReclaimFailureTest}. The system properties {@code histories.from} and {@code histories.to}
 * set the first and the last seed.
 */
class QuotaReclaimHistoryTest {
  private static final List<String> TEAMS =
      List.of(QuotaCluster.DESK, QuotaCluster.NIGHT, QuotaCluster.LAB);

  private static final int FAULTY_PHASE_S = 150;
  private static final int FAULT_FREE_PHASE_S = 100;

  static LongStream seeds() {
    return LongStream.rangeClosed(
        Long.getLong("histories.from", 1), Long.getLong("histories.to", 24));
  }

  private static Job randomJob(Random random, int number) {
    String team = TEAMS.get(random.nextInt(TEAMS.size()));
    Priority priority = Priority.values()[random.nextInt(4)];
    double checkpointIntervalS = random.nextInt(3) == 0 ? 0 : 5 + random.nextInt(20);
    JobKind kind =
        switch (random.nextInt(5)) {
          case 0, 1 -> JobKind.SERVICE;
          case 2 -> JobKind.GANG;
          default -> JobKind.ARRAY;
        };
    int tasks = 1 + random.nextInt(kind == JobKind.ARRAY ? 15 : 6);
    double runS = kind == JobKind.SERVICE ? 0 : 15 + random.nextInt(60);
    return QuotaCluster.job(number, kind, tasks, runS, checkpointIntervalS, team, priority);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void invariantsAndGuaranteesHold(long seed) {
    QuotaCluster scenario = QuotaCluster.withBorrowing(seed);
    List<Job> jobs = play(scenario, seed);
    assertEquals(List.of(), scenario.cluster.checker.violations);
    assertEquals(List.of(), scenario.guaranteeChecker.unexplained);
    int answersBefore = scenario.cluster.checker.answeredRequests;
    jobs.forEach(job -> scenario.cluster.queryAllNodes(job.uid()));
    scenario.cluster.run(5);
    assertEquals(
        answersBefore + scenario.cluster.nodeNames().size() * jobs.size(),
        scenario.cluster.checker.answeredRequests);
    assertEquals(List.of(), scenario.cluster.checker.violations);
    assertTrue(scenario.cluster.checker.startCount > 10);
  }

  /** Seeds of long runs in which a team waited for its guarantee without a known cause. */
  @ParameterizedTest
  @ValueSource(longs = {1101, 1156, 1832})
  void guaranteesAreNotLateWithoutACause(long seed) {
    invariantsAndGuaranteesHold(seed);
  }

  /**
   * Runs the random history of this seed, which ends with a phase without faults, and returns its
   * jobs.
   */
  static List<Job> play(QuotaCluster scenario, long seed) {
    Random random = new Random(seed * 53);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 18; i++) {
      Job job = randomJob(random, i);
      jobs.add(job);
      scenario.cluster.schedule(2000 + random.nextInt(100_000), () -> scenario.submit(job));
      if (random.nextInt(3) == 0) {
        scenario.cluster.schedule(
            30_000 + random.nextInt(100_000), () -> scenario.cluster.cancel(job.uid()));
      }
    }
    scenario.cluster.lossProbability = 0.01;
    scenario.cluster.duplicateProbability = 0.02;
    QuotaReclaimFailureTest.Fault[] faults = QuotaReclaimFailureTest.Fault.values();
    for (int i = 0; i < 8; i++) {
      QuotaReclaimFailureTest.Fault fault = faults[random.nextInt(faults.length)];
      scenario.cluster.schedule(
          20_000 + random.nextInt(100_000),
          () -> {
            scenario.guaranteeChecker.expectDisruption(12_000);
            fault.inject.accept(scenario);
          });
    }
    scenario.guaranteeChecker.expectDisruption(FAULTY_PHASE_S * 1000L);
    scenario.cluster.run(FAULTY_PHASE_S);
    scenario.cluster.progress.machinesWithHangingSaves.clear();
    scenario.cluster.clearFaults();
    scenario.cluster.run(FAULT_FREE_PHASE_S);
    return jobs;
  }
}
