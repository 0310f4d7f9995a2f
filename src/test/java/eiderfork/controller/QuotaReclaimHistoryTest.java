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
 * Random histories of teams that lend and borrow under every fault of {@link
 * QuotaReclaimFailureTest}. The properties {@code histories.from} and {@code histories.to} name
 * other seeds.
 */
class QuotaReclaimHistoryTest {
  private static final List<String> TEAMS =
      List.of(QuotaCluster.DESK, QuotaCluster.NIGHT, QuotaCluster.LAB);

  private static final int FAULTY_PHASE_S = 150;
  private static final int QUIET_PHASE_S = 100;

  static LongStream seeds() {
    return LongStream.rangeClosed(
        Long.getLong("histories.from", 1), Long.getLong("histories.to", 24));
  }

  private static Job job(Random script, int number) {
    String team = TEAMS.get(script.nextInt(TEAMS.size()));
    Priority priority = Priority.values()[script.nextInt(4)];
    double checkpointS = script.nextInt(3) == 0 ? 0 : 5 + script.nextInt(20);
    JobKind kind =
        switch (script.nextInt(5)) {
          case 0, 1 -> JobKind.SERVICE;
          case 2 -> JobKind.GANG;
          default -> JobKind.ARRAY;
        };
    int tasks = 1 + script.nextInt(kind == JobKind.ARRAY ? 15 : 6);
    double runS = kind == JobKind.SERVICE ? 0 : 15 + script.nextInt(60);
    return QuotaCluster.job(number, kind, tasks, runS, checkpointS, team, priority);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void rulesAndGuaranteesHold(long seed) {
    QuotaCluster scenario = QuotaCluster.withBorrowing(seed);
    List<Job> jobs = play(scenario, seed);
    assertEquals(List.of(), scenario.cluster.checker.violations);
    assertEquals(List.of(), scenario.guaranteeChecker.unexplained);
    int before = scenario.cluster.checker.answeredRequests;
    jobs.forEach(job -> scenario.cluster.queryAllNodes(job.uid()));
    scenario.cluster.run(5);
    assertEquals(
        before + scenario.cluster.nodeNames().size() * jobs.size(),
        scenario.cluster.checker.answeredRequests);
    assertEquals(List.of(), scenario.cluster.checker.violations);
    assertTrue(scenario.cluster.checker.startCount > 10);
  }

  /** Seeds of long runs in which a team waited for its guarantee for no known cause. */
  @ParameterizedTest
  @ValueSource(longs = {1101, 1156, 1832})
  void guaranteesAreNotLateWithoutACause(long seed) {
    rulesAndGuaranteesHold(seed);
  }

  /** Runs the random history of this seed to its quiet end, and returns the jobs. */
  static List<Job> play(QuotaCluster scenario, long seed) {
    Random script = new Random(seed * 53);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 18; i++) {
      Job job = job(script, i);
      jobs.add(job);
      scenario.cluster.schedule(2000 + script.nextInt(100_000), () -> scenario.submit(job));
      if (script.nextInt(3) == 0) {
        scenario.cluster.schedule(
            30_000 + script.nextInt(100_000), () -> scenario.cluster.cancel(job.uid()));
      }
    }
    scenario.cluster.lossProbability = 0.01;
    scenario.cluster.duplicateProbability = 0.02;
    QuotaReclaimFailureTest.Fault[] faults = QuotaReclaimFailureTest.Fault.values();
    for (int i = 0; i < 8; i++) {
      QuotaReclaimFailureTest.Fault fault = faults[script.nextInt(faults.length)];
      scenario.cluster.schedule(
          20_000 + script.nextInt(100_000),
          () -> {
            scenario.guaranteeChecker.expectDisruption(12_000);
            fault.inject.accept(scenario);
          });
    }
    scenario.guaranteeChecker.expectDisruption(FAULTY_PHASE_S * 1000L);
    scenario.cluster.run(FAULTY_PHASE_S);
    scenario.cluster.progress.machinesWithHangingSaves.clear();
    scenario.cluster.clearFaults();
    scenario.cluster.run(QUIET_PHASE_S);
    return jobs;
  }
}
