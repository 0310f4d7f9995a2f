package eiderfork.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.core.message.Input;
import eiderfork.model.Job;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Digests of all that controllers emit in random histories, by which a change of the code's form is
 * shown to change nothing else. The property {@code digest.out} names a file for the digests of
 * every kind of history with the seeds from {@code digest.from} to {@code digest.to}.
 */
class EffectDigestTest {
  private static final int MOST_THREADS = 6;
  private static final double QUIET_S = 30;
  private static final double ANSWERS_S = 5;

  /** A world where nothing has happened yet, and what plays its history and tells the jobs. */
  private record History(World world, Supplier<List<Job>> player) {
    /** The digest of the history, played to its end. */
    String digest() {
      EffectDigest digest = EffectDigest.of(world);
      askForAll(player.get());
      return digest.finish();
    }

    /**
     * After a quiet while every node is asked for its health and every job: what it knows counts.
     */
    private void askForAll(List<Job> jobs) {
      world.quiet();
      world.run(QUIET_S);
      world.all().forEach(node -> world.ask(node, Input.HealthCheck::new, answer -> {}));
      jobs.forEach(job -> world.queryAll(job.uid()));
      world.run(ANSWERS_S);
    }
  }

  /** Plays the history of a seed. */
  private interface Script {
    List<Job> play(World world, long seed);
  }

  /** The kinds of random histories. */
  private enum Kind {
    PLAIN("plain", scripted(World::new, HistoryTest::play)),
    SELDOM_REPORTS("seldom", scripted(seed -> new World(seed, Samples.slow()), HistoryTest::play)),
    TROUBLES_MEET("meet", scripted(World::new, EffectDigestTest::playMeetingTroubles)),
    SILENT_WORKERS(
        "silent", scripted(SilentWorkerHistoryTest::world, SilentWorkerHistoryTest::play)),
    SILENT_WORKERS_CHANGING_LEADERS(
        "silent-leaders",
        scripted(SilentWorkerHistoryTest::changingWorld, SilentWorkerHistoryTest::playWithChanges)),
    STANDBY("standby", scripted(StandbyTakeoverTest::randomWorld, StandbyTakeoverTest::play)),
    UPGRADE("upgrade", scripted(UpgradeTest::older, UpgradeTest::play)),
    GANGS("gangs", scripted(World::new, GangTest::play)),
    SPLIT("split", scripted(LeaseProxyTest::world, LeaseProxyTest::playSplit)),
    ARCHIVE("archive", scripted(JobArchiveTest::world, JobArchiveTest::play)),
    LENDING("lending", EffectDigestTest::lending);

    private final String label;
    private final LongFunction<History> bySeed;

    Kind(String label, LongFunction<History> bySeed) {
      this.label = label;
      this.bySeed = bySeed;
    }

    /** The digest of the history of this kind and seed. */
    String digest(long seed) {
      return bySeed.apply(seed).digest();
    }

    String line(long seed) {
      return label + " " + seed + " " + digest(seed);
    }
  }

  private static LongFunction<History> scripted(LongFunction<World> start, Script script) {
    return seed -> {
      World world = start.apply(seed);
      return new History(world, () -> script.play(world, seed));
    };
  }

  private static History lending(long seed) {
    LendingWorld lending = LendingWorld.on(seed);
    return new History(lending.world, () -> LendingHistoryTest.play(lending, seed));
  }

  private static List<Job> playMeetingTroubles(World world, long seed) {
    HistoryTest.troublesMeet(world, seed);
    return HistoryTest.play(world, seed);
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void theSameSeedHasTheSameDigestAndAnotherSeedAnother(Kind kind) {
    String digest = kind.digest(1);
    assertEquals(digest, kind.digest(1));
    assertNotEquals(digest, kind.digest(2));
  }

  /** Writes one line for each history: its kind, its seed and its digest. */
  @Test
  void writesTheDigestsOfHistories(@TempDir Path directory) throws Exception {
    long from = Long.getLong("digest.from", 1);
    long to = Long.getLong("digest.to", 2);
    String named = System.getProperty("digest.out");
    Path file = named == null ? directory.resolve("digests") : Path.of(named);
    write(file, lines(from, to));
    List<String> written = Files.readAllLines(file);
    assertEquals(Kind.values().length * (to - from + 1), written.size());
    assertTrue(written.contains(Kind.PLAIN.line(from)), "the same when played alone");
  }

  /** Worlds share nothing that changes, so that histories may be played side by side. */
  private static List<String> lines(long from, long to)
      throws InterruptedException, ExecutionException {
    int threads = Math.min(MOST_THREADS, Runtime.getRuntime().availableProcessors());
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      List<Future<String>> lines = new ArrayList<>();
      for (Kind kind : Kind.values()) {
        for (long seed = from; seed <= to; seed++) {
          long each = seed;
          lines.add(pool.submit(() -> kind.line(each)));
        }
      }
      return allOf(lines);
    } finally {
      pool.shutdownNow();
    }
  }

  private static List<String> allOf(List<Future<String>> futures)
      throws InterruptedException, ExecutionException {
    List<String> values = new ArrayList<>();
    for (Future<String> future : futures) {
      values.add(future.get());
    }
    return values;
  }

  private static void write(Path file, List<String> lines) throws IOException {
    Files.write(file, lines.stream().sorted().toList());
  }
}
