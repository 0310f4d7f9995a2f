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

/** The copy is what is committed, or it is dropped. */
class StandbyReplicaTest {
  private final ControllerContext context =
      new ControllerContext(StandbyFixtures.settings(1), new Random(1), 1_000_000);
  private final StoreClient store = new StoreClient(context);
  private final StandbyReplica replica = new StandbyReplica(context, store);

  /** The open watches by their prefix. */
  private final Map<String, Effect.CallStore> watches = new TreeMap<>();

  private final List<Effect.CallStore> scans = new ArrayList<>();

  private void pass(long ms) {
    for (long i = 0; i < ms; i += 50) {
      context.nowMs += 50;
      replica.tick();
      store.sendQueued();
      collect();
    }
  }

  private void collect() {
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

  private static Reply.Item aborted(int number, long version) {
    return new Reply.Item(
        StoreKeys.cancellation("run-" + number),
        new StoredRecord.Cancellation("run-" + number),
        version);
  }

  private static Reply.Item removed(String key, long version) {
    return new Reply.Item(key, null, version);
  }

  private void answerScan(boolean more, long revision, Reply.Item... items) {
    Effect.CallStore scan = scans.remove(0);
    context.completeCall(
        scan.callId(), new Reply.Page(ImmutableList.copyOf(items), more, revision));
    pass(50);
  }

  private void answerWatch(String prefix, long revision, Reply.Item... items) {
    Effect.CallStore watch = watches.remove(prefix);
    context.completeCall(watch.callId(), new Reply.Changes(ImmutableList.copyOf(items), revision));
  }

  /** Everything is read at revision 10, with one job and one cancellation. */
  @BeforeEach
  void read() {
    replica.startIfDue();
    pass(1000);
    answerScan(false, 10, aborted(1, 4));
    answerScan(false, 10);
    answerScan(false, 10);
    answerScan(false, 10, job(1, 3));
    answerScan(false, 10);
    answerScan(false, 10);
    answerScan(false, 10);
    assertTrue(replica.isFollowing());
    assertEquals(7, watches.size());
  }

  private List<String> keys(String prefix) {
    return replica.items(prefix).stream().map(Reply.Item::key).toList();
  }

  @Test
  void changesAreTakenInOrderWithTheirRevisions() {
    answerWatch(StoreKeys.JOB_PREFIX, 14, job(2, 12), job(3, 14));
    pass(1000);
    answerWatch(StoreKeys.JOB_PREFIX, 20, removed(StoreKeys.job("run-2"), 18));
    assertEquals(List.of("job/run-1", "job/run-3"), keys(StoreKeys.JOB_PREFIX));
    assertEquals(10, replica.revision(), "the other ranges are no further");
    pass(1000);
    assertEquals(
        20, ((StoreRequest.Watch) watches.get(StoreKeys.JOB_PREFIX).request()).afterRevision());
  }

  @Test
  void watchesPauseForTheirShareOfTheRate() {
    answerWatch(StoreKeys.JOB_PREFIX, 14, job(2, 12));
    pass(200);
    assertNull(watches.get(StoreKeys.JOB_PREFIX), "not at once");
    pass(1000);
    assertEquals(
        14, ((StoreRequest.Watch) watches.get(StoreKeys.JOB_PREFIX).request()).afterRevision());
  }

  @Test
  void aLostAnswerIsAskedForAgainFromTheSameRevision() {
    context.completeCall(watches.remove(StoreKeys.JOB_PREFIX).callId(), new Reply.Unanswered());
    pass(1500);
    assertEquals(
        10, ((StoreRequest.Watch) watches.get(StoreKeys.JOB_PREFIX).request()).afterRevision());
    assertTrue(replica.isFollowing());
  }

  private void assertDropped() {
    assertFalse(replica.isFollowing());
    assertEquals(0, replica.memoryMb());
    replica.startIfDue();
    pass(1000);
    assertTrue(scans.isEmpty(), "not read anew at once");
    pass(context.workerLeaseMs());
    replica.startIfDue();
    pass(1000);
    assertFalse(scans.isEmpty(), "but after a while");
  }

  @Test
  void changesThatAreOutOfOrderDropTheCopy() {
    answerWatch(StoreKeys.JOB_PREFIX, 14, job(3, 14), job(2, 12));
    assertDropped();
  }

  @Test
  void changesThatWereTakenBeforeDropTheCopy() {
    answerWatch(StoreKeys.JOB_PREFIX, 14, job(2, 12));
    pass(1000);
    answerWatch(StoreKeys.JOB_PREFIX, 14, job(2, 12));
    assertDropped();
  }

  @Test
  void anAnswerOfAnEarlierRevisionDropsTheCopy() {
    answerWatch(StoreKeys.JOB_PREFIX, 9);
    assertDropped();
  }

  @Test
  void aChangeBeyondTheAnswersRevisionDropsTheCopy() {
    answerWatch(StoreKeys.JOB_PREFIX, 12, job(2, 13));
    assertDropped();
  }

  @Test
  void changesThatTheServiceHasForgottenDropTheCopy() {
    context.completeCall(watches.remove(StoreKeys.ALLOC_PREFIX).callId(), new Reply.Refused(410));
    assertDropped();
  }

  @Test
  void anAnswerThatIsTooLargeDropsTheCopy() {
    context.completeCall(watches.remove(StoreKeys.ALLOC_PREFIX).callId(), new Reply.Oversized());
    assertDropped();
  }

  @Test
  void aRecordThatCanNotBeReadDropsTheCopy() {
    answerWatch(
        StoreKeys.ALLOC_PREFIX,
        12,
        new Reply.Item(StoreKeys.alloc("run-1"), new StoredRecord.Unreadable("spoiled"), 12));
    assertDropped();
  }

  @Test
  void aVersionThatMovesDropsTheCopy() {
    answerWatch(
        StoreKeys.CLUSTER_VERSION,
        12,
        new Reply.Item(StoreKeys.CLUSTER_VERSION, new StoredRecord.StoredVersion(3), 12));
    assertDropped();
  }

  @Test
  void aCopyThatOutgrowsItsShareOfMemoryIsDropped() {
    List<Reply.Item> many = new ArrayList<>();
    for (int i = 0; i < 80_000; i++) {
      many.add(job(1000 + i, 11 + i));
    }
    answerWatch(StoreKeys.JOB_PREFIX, 100_000, many.toArray(new Reply.Item[0]));
    assertDropped();
  }

  @Test
  void anAnswerFromBeforeAPageWasReadDropsTheCopy() {
    replica.clear("read anew");
    watches.clear();
    replica.startIfDue();
    pass(1000);
    for (int i = 0; i < 3; i++) {
      answerScan(false, 10);
    }
    answerScan(true, 10, job(1, 3));
    answerScan(false, 15, job(2, 15));
    for (int i = 0; i < 3; i++) {
      answerScan(false, 15);
    }
    answerWatch(StoreKeys.JOB_PREFIX, 13, removed(StoreKeys.job("run-2"), 12));
    assertDropped();
  }

  /** What changes while pages are read is in a later page and comes again with the watch. */
  @Test
  void aPageThatIsNewerThanTheFirstIsNotSetBack() {
    replica.clear("read anew");
    watches.clear();
    replica.startIfDue();
    pass(1000);
    answerScan(false, 10);
    answerScan(false, 10);
    answerScan(false, 10);
    answerScan(true, 10, job(1, 3));
    // Between the pages job 2 was removed and written anew as 15, and job 4 was removed as 13.
    answerScan(false, 15, job(2, 15));
    answerScan(false, 15);
    answerScan(false, 15);
    answerScan(false, 15);
    answerWatch(
        StoreKeys.JOB_PREFIX,
        15,
        removed(StoreKeys.job("run-2"), 12),
        removed(StoreKeys.job("run-4"), 13),
        job(2, 15));
    assertEquals(List.of("job/run-1", "job/run-2"), keys(StoreKeys.JOB_PREFIX));
  }

  /** A cancellation that was confirmed while the answer was under way is not in it. */
  @Test
  void theCopyIsProvedUpToTheMomentOfTheQuestion() {
    long requestedMs = context.nowMs;
    catchUp(30);
    pass(700);
    answerWatch(StoreKeys.CANCELLATION_PREFIX, 31);
    assertTrue(
        replica.caughtUpMs(StoreKeys.CANCELLATION_PREFIX) <= requestedMs + 50,
        "not that of the answer");
  }

  // Taking the lead.

  private final List<Boolean> caughtUp = new ArrayList<>();

  private void catchUp(long atLeast) {
    watches.clear();
    replica.catchUp(atLeast, caughtUp::add);
    pass(500);
  }

  @Test
  void aNewLeaderUsesTheCopyOnceEveryRangeHasItsRevision() {
    catchUp(30);
    assertEquals(7, watches.size());
    for (String prefix : List.copyOf(watches.keySet())) {
      assertEquals(List.of(), caughtUp);
      if (prefix.equals(StoreKeys.CANCELLATION_PREFIX)) {
        answerWatch(prefix, 31, aborted(2, 22));
      } else {
        answerWatch(prefix, 30);
      }
    }
    assertEquals(List.of(true), caughtUp);
    assertEquals(30, replica.revision());
    assertEquals(List.of("abort/run-1", "abort/run-2"), keys(StoreKeys.CANCELLATION_PREFIX));
  }

  @Test
  void anAnswerFromBeforeTheLeadIsNotEnough() {
    catchUp(30);
    for (String prefix : List.copyOf(watches.keySet())) {
      answerWatch(prefix, prefix.equals(StoreKeys.ALLOC_PREFIX) ? 29 : 30);
    }
    assertEquals(List.of(), caughtUp);
    pass(1500);
    answerWatch(StoreKeys.ALLOC_PREFIX, 30);
    assertEquals(List.of(true), caughtUp);
  }

  @Test
  void aWatchOpenedBeforeTheLeadSaysNothingAnyMore() {
    Effect.CallStore before = watches.get(StoreKeys.JOB_PREFIX);
    catchUp(30);
    context.completeCall(before.callId(), new Reply.Changes(ImmutableList.of(job(2, 12)), 30));
    assertEquals(List.of("job/run-1"), keys(StoreKeys.JOB_PREFIX));
  }

  @Test
  void anOutageIsWaitedForAndAGapHasEverythingRead() {
    catchUp(30);
    context.completeCall(watches.remove(StoreKeys.JOB_PREFIX).callId(), new Reply.Refused(503));
    pass(1500);
    assertEquals(List.of(), caughtUp);
    context.completeCall(watches.remove(StoreKeys.JOB_PREFIX).callId(), new Reply.Refused(410));
    assertEquals(List.of(false), caughtUp);
    assertFalse(replica.isFollowing());
  }
}
