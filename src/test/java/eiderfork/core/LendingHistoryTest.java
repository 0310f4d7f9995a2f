package eiderfork.core;

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

/**
 * Random histories of teams that lend and borrow under every trouble of {@link LendingFailureTest}.
 * The properties {@code histories.from} and {@code histories.to} name other seeds.
 */
class LendingHistoryTest {
  private static final List<String> TEAMS =
      List.of(LendingWorld.DESK, LendingWorld.NIGHT, LendingWorld.LAB);

  private static final int TROUBLED_S = 150;
  private static final int QUIET_S = 100;

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
    return LendingWorld.job(number, kind, tasks, runS, checkpointS, team, priority);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void rulesAndGuaranteesHold(long seed) {
    LendingWorld w = LendingWorld.on(seed);
    List<Job> jobs = play(w, seed);
    assertEquals(List.of(), w.world.checker.breaches);
    assertEquals(List.of(), w.guarantees.unexplained);
    int before = w.world.checker.answers;
    jobs.forEach(job -> w.world.queryAll(job.uid()));
    w.world.run(5);
    assertEquals(before + w.world.all().size() * jobs.size(), w.world.checker.answers);
    assertEquals(List.of(), w.world.checker.breaches);
    assertTrue(w.world.checker.starts > 10);
  }

  /** Plays the random history of this seed to its quiet end, and tells the jobs. */
  static List<Job> play(LendingWorld w, long seed) {
    Random script = new Random(seed * 53);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 18; i++) {
      Job job = job(script, i);
      jobs.add(job);
      w.world.at(2000 + script.nextInt(100_000), () -> w.submit(job));
      if (script.nextInt(3) == 0) {
        w.world.at(30_000 + script.nextInt(100_000), () -> w.world.abort(job.uid()));
      }
    }
    w.world.loss = 0.01;
    w.world.doubled = 0.02;
    LendingFailureTest.Trouble[] troubles = LendingFailureTest.Trouble.values();
    for (int i = 0; i < 8; i++) {
      LendingFailureTest.Trouble trouble = troubles[script.nextInt(troubles.length)];
      w.world.at(
          20_000 + script.nextInt(100_000),
          () -> {
            w.guarantees.trouble(12_000);
            trouble.begin.accept(w);
          });
    }
    w.guarantees.trouble(TROUBLED_S * 1000L);
    w.world.run(TROUBLED_S);
    w.world.progress.savesHangOn.clear();
    w.world.quiet();
    w.world.run(QUIET_S);
    return jobs;
  }
}
