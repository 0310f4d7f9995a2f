package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.config.Settings;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.jobs.UserRequestHandler;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.message.UserResponse;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the rate limits on requests to the store are kept. */
class RateLimitTest {
  @Test
  void bucketHoldsItsBurstAndRefillsAtItsRate() {
    TokenBucket bucket = new TokenBucket(10, 2, 0);
    assertTrue(bucket.tryTake(1, 0));
    assertTrue(bucket.tryTake(1, 0));
    assertFalse(bucket.tryTake(1, 50));
    assertTrue(bucket.tryTake(1, 100));
    assertFalse(bucket.tryTake(1, 100));
  }

  @Test
  void backoffDelaysGrowWithJitterUpToTheirMaximum() {
    Backoff backoff = new Backoff(100, 1000);
    Random random = new Random(3);
    for (int i = 0; i < 20; i++) {
      long baseMs = Math.min(1000, 100L << Math.min(i, 16));
      long delayMs = backoff.nextPauseMs(random);
      assertTrue(delayMs >= baseMs / 2 && delayMs <= baseMs, i + ": delay in ms is " + delayMs);
    }
  }

  @Test
  void highestPriorityWriteIsSentFirstAtTheRateLimit() {
    ControllerContext context =
        new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
    StoreClient store = new StoreClient(context);
    store.actAsLeader();
    for (int i = 0; i < 200; i++) {
      sendWrite(store, "batch/" + i, RequestPriority.BATCH);
    }
    int sentAtOnce = context.drainEffects().size();
    assertTrue(sentAtOnce < 200, "the rate limit held back no write");
    sendWrite(store, "abort/1", RequestPriority.ABORT);
    assertTrue(context.drainEffects().isEmpty());
    context.advanceBy(100);
    store.sendQueued();
    List<String> keys = new ArrayList<>();
    for (Effect effect : context.drainEffects()) {
      StoreRequest.Transaction write =
          (StoreRequest.Transaction) ((Effect.CallStore) effect).request();
      keys.add(write.changes().get(0).key());
    }
    assertEquals("abort/1", keys.get(0));
    assertEquals("batch/" + sentAtOnce, keys.get(1));
  }

  /**
   * A node that can't reach the leader executes requests against the store itself. Polls for job
   * statuses once delayed submissions there by seconds, so it refuses excess queries at once and
   * sends submissions first.
   */
  @Test
  void isolatedNodeShedsQueriesAndSendsSubmissionsFirst() {
    ControllerContext context =
        new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
    StoreClient store = new StoreClient(context);
    LeaderElection election = new LeaderElection(context, store, null);
    ClusterVersion version = new ClusterVersion(context, store, election);
    JobRegistry jobs = new JobRegistry(context, store, election, version);
    MachineRegistry fleet = new MachineRegistry(context, jobs);
    UserRequestHandler handler =
        new UserRequestHandler(
            context,
            election,
            store,
            jobs,
            fleet,
            null,
            null,
            new CancellationTracker(context, uid -> {}),
            version,
            () -> {});
    List<UserResponse> responses = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      handler.handle(new Input.Query(i, "run-%06d".formatted(i)), true, responses::add);
    }
    assertTrue(responses.size() > 300, "queries refused at once: " + responses.size());
    assertTrue(
        responses.stream()
            .allMatch(response -> response.status() == 503 && response.retryAfterS() > 0));
    context.drainEffects();
    handler.handle(
        new Input.Submit(1, TestFixtures.job(999, JobKind.SERVICE, 1, 1), new byte[0]),
        true,
        responses::add);
    context.advanceBy(100);
    store.sendQueued();
    Effect.CallStore first = (Effect.CallStore) context.drainEffects().get(0);
    assertEquals(new StoreRequest.Get("job/run-000999"), first.request());
  }

  private static void sendWrite(StoreClient store, String key, RequestPriority priority) {
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(),
            ImmutableList.of(StoreRequest.Change.put(key, new StoredRecord.TermCounter(1)))),
        priority,
        reply -> {});
  }

  /** Seven nodes that all restart at once must not exceed sixty requests a second together. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void restartOfSevenNodesKeepsTheRequestRate(long seed) {
    Settings settings =
        TestFixtures.settings(
            "roost-0",
            TestFixtures.SHORT_LEASES,
            new Settings.StoreLimits(60, 20, 32, 16),
            0.34,
            800,
            7);
    SimulatedCluster cluster = new SimulatedCluster(seed, settings, 7);
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 40; i++) {
      jobs.add(TestFixtures.job(i, JobKind.SERVICE, 2, 0, "blue", Priority.HIGH, true, false));
    }
    jobs.forEach(cluster::submit);
    cluster.run(40);
    cluster.store.requestLimit = new TokenBucket(60, 60, cluster.nowMs);
    for (int restart = 0; restart < 3; restart++) {
      cluster.nodeNames().forEach(node -> cluster.crashNode(node, 300));
      cluster.run(15);
    }
    assertEquals(0, cluster.store.requestLimitRefusals);
    ExpectedOutcome.assertAllJobsServed(cluster, jobs);
  }

  /** The end of a job was once written 6 to 12 s late, queued behind the starts of other arrays. */
  @Test
  void endOfJobIsWrittenAtOnceWhileManyArraysStart() {
    Settings settings =
        TestFixtures.settings(
            "roost-0",
            TestFixtures.SHORT_LEASES,
            new Settings.StoreLimits(200, 4, 8, 16),
            0.2,
            160,
            3);
    SimulatedCluster cluster = new SimulatedCluster(5, settings);
    cluster.cloud.defaultStock = 4;
    List<Job> jobs = new ArrayList<>();
    for (int i = 1; i <= 40; i++) {
      jobs.add(TestFixtures.job(i, JobKind.ARRAY, 6, 1));
    }
    jobs.forEach(cluster::submit);
    Map<Job, Long> finishedMs = new HashMap<>();
    long maxDelayMs = 0;
    for (int i = 0; i < 1200; i++) {
      cluster.run(0.1);
      for (Job job : jobs) {
        if (cluster.allTasksFinished(job) && !cluster.isDoneInStore(job)) {
          finishedMs.putIfAbsent(job, cluster.nowMs);
          maxDelayMs = Math.max(maxDelayMs, cluster.nowMs - finishedMs.get(job));
        }
      }
    }
    assertTrue(jobs.stream().allMatch(cluster::isDoneInStore));
    assertTrue(maxDelayMs <= 3000, maxDelayMs + " ms until the end of a job was written");
    ExpectedOutcome.assertNoViolations(cluster);
  }
}
