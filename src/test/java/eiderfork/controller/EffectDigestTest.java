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
 * Computes digests of all effects that controllers emit in random histories. Equal digests before
 * and after a refactoring show that it changes no behaviour. The property {@code digest.out} names
 * a file for the digests of every kind of history with the seeds from {@code digest.from} to {@code
 * digest.to}.
 */
class EffectDigestTest {
  private static final int MAX_THREADS = 6;
  private static final double SETTLE_S = 30;
  private static final double RESPONSE_WAIT_S = 5;

  /** A new cluster, and the history to run on it, which returns its jobs. */
  private record History(SimulatedCluster cluster, Supplier<List<Job>> history) {
    /** Runs the history to its end and returns its digest. */
    String digest() {
      EffectDigest digest = EffectDigest.of(cluster);
      queryFinalState(history.get());
      return digest.finish();
    }

    /** Waits without faults, then queries every node for its health and each job. */
    private void queryFinalState(List<Job> jobs) {
      cluster.clearFaults();
      cluster.run(SETTLE_S);
      cluster
          .nodeNames()
          .forEach(node -> cluster.sendRequest(node, Input.HealthCheck::new, answer -> {}));
      jobs.forEach(job -> cluster.queryAllNodes(job.uid()));
      cluster.run(RESPONSE_WAIT_S);
    }
  }

  /** Runs the history of a seed and returns its jobs. */
  private interface Script {
    List<Job> play(SimulatedCluster cluster, long seed);
  }

  /** The kinds of random histories. */
  private enum Kind {
    PLAIN("plain", scripted(SimulatedCluster::new, RandomHistoryTest::play)),
    LONG_LEASES(
        "seldom",
        scripted(
            seed -> new SimulatedCluster(seed, TestFixtures.longLeaseSettings()),
            RandomHistoryTest::play)),
    CONCURRENT_FAULTS(
        "meet", scripted(SimulatedCluster::new, EffectDigestTest::playConcurrentFaults)),
    SILENT_WORKERS(
        "silent", scripted(SilentWorkerHistoryTest::newCluster, SilentWorkerHistoryTest::play)),
    SILENT_WORKERS_CHANGING_LEADERS(
        "silent-leaders",
        scripted(
            SilentWorkerHistoryTest::newVariedCluster, SilentWorkerHistoryTest::playWithFaults)),
    STANDBY("standby", scripted(StandbyFailoverTest::randomCluster, StandbyFailoverTest::play)),
    UPGRADE("upgrade", scripted(RollingUpgradeTest::olderVersionCluster, RollingUpgradeTest::play)),
    GANGS("gangs", scripted(SimulatedCluster::new, GangTest::play)),
    SPLIT("split", scripted(LeaseProxyTest::newCluster, LeaseProxyTest::playSplit)),
    ARCHIVE("archive", scripted(JobArchiverTest::newCluster, JobArchiverTest::play)),
    LENDING("lending", EffectDigestTest::borrowingHistory);

    private final String label;
    private final LongFunction<History> historyBySeed;

    Kind(String label, LongFunction<History> bySeed) {
      this.label = label;
      this.historyBySeed = bySeed;
    }

    /** Returns the digest of the history of this kind and seed. */
    String digest(long seed) {
      return historyBySeed.apply(seed).digest();
    }

    String line(long seed) {
      return label + " " + seed + " " + digest(seed);
    }
  }

  private static LongFunction<History> scripted(
      LongFunction<SimulatedCluster> newCluster, Script script) {
    return seed -> {
      SimulatedCluster cluster = newCluster.apply(seed);
      return new History(cluster, () -> script.play(cluster, seed));
    };
  }

  private static History borrowingHistory(long seed) {
    QuotaCluster quotaCluster = QuotaCluster.withBorrowing(seed);
    return new History(
        quotaCluster.cluster, () -> QuotaReclaimHistoryTest.play(quotaCluster, seed));
  }

  private static List<Job> playConcurrentFaults(SimulatedCluster cluster, long seed) {
    RandomHistoryTest.scheduleOverlappingFaults(cluster, seed);
    return RandomHistoryTest.play(cluster, seed);
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void digestIsEqualForSameSeedOnly(Kind kind) {
    String digest = kind.digest(1);
    assertEquals(digest, kind.digest(1));
    assertNotEquals(digest, kind.digest(2));
  }

  /** Writes one line for each history: its kind, its seed and its digest. */
  @Test
  void writesDigestsOfAllHistories(@TempDir Path directory) throws Exception {
    long from = Long.getLong("digest.from", 1);
    long to = Long.getLong("digest.to", 2);
    String path = System.getProperty("digest.out");
    Path file = path == null ? directory.resolve("digests") : Path.of(path);
    write(file, lines(from, to));
    List<String> written = Files.readAllLines(file);
    assertEquals(Kind.values().length * (to - from + 1), written.size());
    assertTrue(written.contains(Kind.PLAIN.line(from)), "same digest when run alone");
  }

  /** Runs all histories in parallel, which is safe because clusters share no mutable state. */
  private static List<String> lines(long from, long to)
      throws InterruptedException, ExecutionException {
    int threads = Math.min(MAX_THREADS, Runtime.getRuntime().availableProcessors());
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      List<Future<String>> lines = new ArrayList<>();
      for (Kind kind : Kind.values()) {
        for (long seed = from; seed <= to; seed++) {
          long currentSeed = seed;
          lines.add(pool.submit(() -> kind.line(currentSeed)));
        }
      }
      return getAll(lines);
    } finally {
      pool.shutdownNow();
    }
  }

  private static List<String> getAll(List<Future<String>> futures)
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
