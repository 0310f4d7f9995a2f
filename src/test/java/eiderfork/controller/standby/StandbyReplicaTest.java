package eiderfork.controller.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.StandbyFixtures;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that the replica either equals the committed state or is dropped. */
class StandbyReplicaTest {
  private final ControllerContext context =
      new ControllerContext(StandbyFixtures.settings(1), new Random(1), 1_000_000);
  private final StoreClient store = new StoreClient(context);
  private final StandbyReplica replica = new StandbyReplica(context, store);

  /** The pending watches by prefix. */
  private final Map<String, Effect.CallStore> watches = new TreeMap<>();

  private final List<Effect.CallStore> scans = new ArrayList<>();

  private void advance(long ms) {
    for (long i = 0; i < ms; i += 50) {
      context.advanceBy(50);
      replica.tick();
      store.sendQueued();
      collectStoreCalls();
    }
  }

  private void collectStoreCalls() {
    for (Effect effect : context.drainEffects()) {
      Effect.CallStore storeCall = (Effect.CallStore) effect;
      if (storeCall.request() instanceof StoreRequest.Watch watch) {
        watches.put(watch.prefix(), storeCall);
      } else {
        scans.add(storeCall);
      }
    }
  }

  private static Reply.Item job(int number, long version) {
    String uid = "run-" + number;
    return new Reply.Item(
        StoreKeys.job(uid), new StoredRecord.JobSpec(StandbyFixtures.job(uid)), version);
  }

  private static Reply.Item cancellation(int number, long version) {
    return new Reply.Item(
        StoreKeys.cancellation("run-" + number),
        new StoredRecord.Cancellation("run-" + number),
        version);
  }

  private static Reply.Item removal(String key, long version) {
    return new Reply.Item(key, null, version);
  }

  private void replyToScan(boolean hasMore, long revision, Reply.Item... items) {
    Effect.CallStore scan = scans.remove(0);
    context.completeCall(
        scan.callId(), new Reply.Page(ImmutableList.copyOf(items), hasMore, revision));
    advance(50);
  }

  private void replyToWatch(String prefix, long revision, Reply.Item... items) {
    Effect.CallStore watch = watches.remove(prefix);
    context.completeCall(watch.callId(), new Reply.Changes(ImmutableList.copyOf(items), revision));
  }

  /** Completes the initial read at revision 10, with one job and one cancellation. */
  @BeforeEach
  void completeInitialRead() {
    replica.startIfDue();
    advance(1000);
    replyToScan(false, 10, cancellation(1, 4));
    replyToScan(false, 10);
    replyToScan(false, 10);
    replyToScan(false, 10, job(1, 3));
    replyToScan(false, 10);
    replyToScan(false, 10);
    replyToScan(false, 10);
    assertTrue(replica.isFollowing());
    assertEquals(7, watches.size());
  }

  private List<String> keys(String prefix) {
    return replica.items(prefix).stream().map(Reply.Item::key).toList();
  }

  @Test
  void changesAreAppliedInOrderWithTheirRevisions() {
    replyToWatch(StoreKeys.JOB_PREFIX, 14, job(2, 12), job(3, 14));
    advance(1000);
    replyToWatch(StoreKeys.JOB_PREFIX, 20, removal(StoreKeys.job("run-2"), 18));
    assertEquals(List.of("job/run-1", "job/run-3"), keys(StoreKeys.JOB_PREFIX));
    assertEquals(10, replica.revision(), "the other ranges are still at their first revision");
    advance(1000);
    assertEquals(
        20, ((StoreRequest.Watch) watches.get(StoreKeys.JOB_PREFIX).request()).afterRevision());
  }

  @Test
  void nextWatchWaitsForRequestRate() {
    replyToWatch(StoreKeys.JOB_PREFIX, 14, job(2, 12));
    advance(200);
    assertNull(watches.get(StoreKeys.JOB_PREFIX), "the pause is not over");
    advance(1000);
    assertEquals(
        14, ((StoreRequest.Watch) watches.get(StoreKeys.JOB_PREFIX).request()).afterRevision());
  }

  @Test
  void watchWithoutReplyIsRepeatedFromSameRevision() {
    context.completeCall(watches.remove(StoreKeys.JOB_PREFIX).callId(), new Reply.Unanswered());
    advance(1500);
    assertEquals(
        10, ((StoreRequest.Watch) watches.get(StoreKeys.JOB_PREFIX).request()).afterRevision());
    assertTrue(replica.isFollowing());
  }

  private void assertDropped() {
    assertFalse(replica.isFollowing());
    assertEquals(0, replica.memoryMb());
    replica.startIfDue();
    advance(1000);
    assertTrue(scans.isEmpty(), "the replica is not read again at once");
    advance(context.workerLeaseMs());
    replica.startIfDue();
    advance(1000);
    assertFalse(scans.isEmpty(), "the replica is read again after the retry delay");
  }

  @Test
  void changesOutOfOrderDropTheReplica() {
    replyToWatch(StoreKeys.JOB_PREFIX, 14, job(3, 14), job(2, 12));
    assertDropped();
  }

  @Test
  void repeatedChangesDropTheReplica() {
    replyToWatch(StoreKeys.JOB_PREFIX, 14, job(2, 12));
    advance(1000);
    replyToWatch(StoreKeys.JOB_PREFIX, 14, job(2, 12));
    assertDropped();
  }

  @Test
  void replyWithEarlierRevisionDropsTheReplica() {
    replyToWatch(StoreKeys.JOB_PREFIX, 9);
    assertDropped();
  }

  @Test
  void changeNewerThanReplyRevisionDropsTheReplica() {
    replyToWatch(StoreKeys.JOB_PREFIX, 12, job(2, 13));
    assertDropped();
  }

  @Test
  void compactedChangesDropTheReplica() {
    context.completeCall(
        watches.remove(StoreKeys.ALLOCATION_PREFIX).callId(), new Reply.Refused(410));
    assertDropped();
  }

  @Test
  void oversizedReplyDropsTheReplica() {
    context.completeCall(
        watches.remove(StoreKeys.ALLOCATION_PREFIX).callId(), new Reply.Oversized());
    assertDropped();
  }

  @Test
  void unreadableRecordDropsTheReplica() {
    replyToWatch(
        StoreKeys.ALLOCATION_PREFIX,
        12,
        new Reply.Item(StoreKeys.allocation("run-1"), new StoredRecord.Unreadable("spoiled"), 12));
    assertDropped();
  }

  @Test
  void changedClusterVersionDropsTheReplica() {
    replyToWatch(
        StoreKeys.CLUSTER_VERSION,
        12,
        new Reply.Item(StoreKeys.CLUSTER_VERSION, new StoredRecord.StoredVersion(3), 12));
    assertDropped();
  }

  @Test
  void replicaOverMemoryLimitIsDropped() {
    List<Reply.Item> manyJobs = new ArrayList<>();
    for (int i = 0; i < 80_000; i++) {
      manyJobs.add(job(1000 + i, 11 + i));
    }
    replyToWatch(StoreKeys.JOB_PREFIX, 100_000, manyJobs.toArray(new Reply.Item[0]));
    assertDropped();
  }

  @Test
  void watchReplyOlderThanPageDropsTheReplica() {
    replica.clear("read anew");
    watches.clear();
    replica.startIfDue();
    advance(1000);
    for (int i = 0; i < 3; i++) {
      replyToScan(false, 10);
    }
    replyToScan(true, 10, job(1, 3));
    replyToScan(false, 15, job(2, 15));
    for (int i = 0; i < 3; i++) {
      replyToScan(false, 15);
    }
    replyToWatch(StoreKeys.JOB_PREFIX, 13, removal(StoreKeys.job("run-2"), 12));
    assertDropped();
  }

  /** A change made while pages are read is in a later page and delivered again by the watch. */
  @Test
  void replayedChangesKeepItemsOfNewerPage() {
    replica.clear("read anew");
    watches.clear();
    replica.startIfDue();
    advance(1000);
    replyToScan(false, 10);
    replyToScan(false, 10);
    replyToScan(false, 10);
    replyToScan(true, 10, job(1, 3));
    // Between the pages, job 2 was removed and rewritten at 15, and job 4 was removed at 13.
    replyToScan(false, 15, job(2, 15));
    replyToScan(false, 15);
    replyToScan(false, 15);
    replyToScan(false, 15);
    replyToWatch(
        StoreKeys.JOB_PREFIX,
        15,
        removal(StoreKeys.job("run-2"), 12),
        removal(StoreKeys.job("run-4"), 13),
        job(2, 15));
    assertEquals(List.of("job/run-1", "job/run-2"), keys(StoreKeys.JOB_PREFIX));
  }

  /** A cancellation confirmed after the store sent its reply is missing from the reply. */
  @Test
  void replicaIsCaughtUpToTimeOfRequest() {
    long requestedMs = context.nowMs();
    catchUp(30);
    advance(700);
    replyToWatch(StoreKeys.CANCELLATION_PREFIX, 31);
    assertTrue(
        replica.caughtUpMs(StoreKeys.CANCELLATION_PREFIX) <= requestedMs + 50,
        "the time of the request, not of the reply");
  }

  // Catching up as a new leader.

  private final List<Boolean> catchUpResults = new ArrayList<>();

  private void catchUp(long minRevision) {
    watches.clear();
    replica.catchUp(minRevision, catchUpResults::add);
    advance(500);
  }

  @Test
  void catchUpCompletesOnceEveryRangeReachesLeaderRevision() {
    catchUp(30);
    assertEquals(7, watches.size());
    for (String prefix : List.copyOf(watches.keySet())) {
      assertEquals(List.of(), catchUpResults);
      if (prefix.equals(StoreKeys.CANCELLATION_PREFIX)) {
        replyToWatch(prefix, 31, cancellation(2, 22));
      } else {
        replyToWatch(prefix, 30);
      }
    }
    assertEquals(List.of(true), catchUpResults);
    assertEquals(30, replica.revision());
    assertEquals(List.of("abort/run-1", "abort/run-2"), keys(StoreKeys.CANCELLATION_PREFIX));
  }

  @Test
  void replyBelowLeaderRevisionIsNotEnough() {
    catchUp(30);
    for (String prefix : List.copyOf(watches.keySet())) {
      replyToWatch(prefix, prefix.equals(StoreKeys.ALLOCATION_PREFIX) ? 29 : 30);
    }
    assertEquals(List.of(), catchUpResults);
    advance(1500);
    replyToWatch(StoreKeys.ALLOCATION_PREFIX, 30);
    assertEquals(List.of(true), catchUpResults);
  }

  @Test
  void replyToWatchFromBeforeTheElectionIsIgnored() {
    Effect.CallStore earlierWatch = watches.get(StoreKeys.JOB_PREFIX);
    catchUp(30);
    context.completeCall(
        earlierWatch.callId(), new Reply.Changes(ImmutableList.of(job(2, 12)), 30));
    assertEquals(List.of("job/run-1"), keys(StoreKeys.JOB_PREFIX));
  }

  @Test
  void catchUpRetriesAfterOutageAndFailsAfterCompaction() {
    catchUp(30);
    context.completeCall(watches.remove(StoreKeys.JOB_PREFIX).callId(), new Reply.Refused(503));
    advance(1500);
    assertEquals(List.of(), catchUpResults);
    context.completeCall(watches.remove(StoreKeys.JOB_PREFIX).callId(), new Reply.Refused(410));
    assertEquals(List.of(false), catchUpResults);
    assertFalse(replica.isFollowing());
  }
}
