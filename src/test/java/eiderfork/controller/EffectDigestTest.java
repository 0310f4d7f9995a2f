package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.message.Input;
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
  private record History(SimulatedCluster cluster, Supplier<List<Job>> player) {
    /** The digest of the history, played to its end. */
    String digest() {
      EffectDigest digest = EffectDigest.of(cluster);
      askForAll(player.get());
      return digest.finish();
    }

    /**
     * After a quiet while every node is asked for its health and every job: what it knows counts.
     */
    private void askForAll(List<Job> jobs) {
      cluster.clearFaults();
      cluster.run(QUIET_S);
      cluster
          .nodeNames()
          .forEach(node -> cluster.sendRequest(node, Input.HealthCheck::new, answer -> {}));
      jobs.forEach(job -> cluster.queryAllNodes(job.uid()));
      cluster.run(ANSWERS_S);
    }
  }

  /** Plays the history of a seed. */
  private interface Script {
    List<Job> play(SimulatedCluster cluster, long seed);
  }

  /** The kinds of random histories. */
  private enum Kind {
    PLAIN("plain", scripted(SimulatedCluster::new, RandomHistoryTest::play)),
    SELDOM_REPORTS(
        "seldom",
        scripted(
            seed -> new SimulatedCluster(seed, TestFixtures.longLeaseSettings()),
            RandomHistoryTest::play)),
    TROUBLES_MEET("meet", scripted(SimulatedCluster::new, EffectDigestTest::playMeetingTroubles)),
    SILENT_WORKERS(
        "silent", scripted(SilentWorkerHistoryTest::newCluster, SilentWorkerHistoryTest::play)),
    SILENT_WORKERS_CHANGING_LEADERS(
        "silent-leaders",
        scripted(
            SilentWorkerHistoryTest::changingCluster, SilentWorkerHistoryTest::playWithChanges)),
    STANDBY("standby", scripted(StandbyFailoverTest::randomCluster, StandbyFailoverTest::play)),
    UPGRADE("upgrade", scripted(RollingUpgradeTest::older, RollingUpgradeTest::play)),
    GANGS("gangs", scripted(SimulatedCluster::new, GangTest::play)),
    SPLIT("split", scripted(LeaseProxyTest::newCluster, LeaseProxyTest::playSplit)),
    ARCHIVE("archive", scripted(JobArchiverTest::newCluster, JobArchiverTest::play)),
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

  private static LongFunction<History> scripted(
      LongFunction<SimulatedCluster> start, Script script) {
    return seed -> {
      SimulatedCluster cluster = start.apply(seed);
      return new History(cluster, () -> script.play(cluster, seed));
    };
  }

  private static History lending(long seed) {
    QuotaCluster lending = QuotaCluster.withBorrowing(seed);
    return new History(lending.cluster, () -> QuotaReclaimHistoryTest.play(lending, seed));
  }

  private static List<Job> playMeetingTroubles(SimulatedCluster cluster, long seed) {
    RandomHistoryTest.troublesMeet(cluster, seed);
    return RandomHistoryTest.play(cluster, seed);
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
