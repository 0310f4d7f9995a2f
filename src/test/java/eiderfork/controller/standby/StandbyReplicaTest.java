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
  private final StoreClient gate = new StoreClient(context);
  private final StandbyReplica copy = new StandbyReplica(context, gate);

  /** The open watches by their prefix. */
  private final Map<String, Effect.AskState> watches = new TreeMap<>();

  private final List<Effect.AskState> scans = new ArrayList<>();

  private void pass(long ms) {
    for (long i = 0; i < ms; i += 50) {
      context.nowMs += 50;
      copy.tick();
      gate.pump();
      collect();
    }
  }

  private void collect() {
    for (Effect effect : context.takeEffects()) {
      Effect.AskState asked = (Effect.AskState) effect;
      if (asked.op() instanceof StoreRequest.Watch watch) {
        watches.put(watch.prefix(), asked);
      } else {
        scans.add(asked);
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
        StoreKeys.abort("run-" + number), new StoredRecord.Aborted("run-" + number), version);
  }

  private static Reply.Item removed(String key, long version) {
    return new Reply.Item(key, null, version);
  }

  private void answerScan(boolean more, long revision, Reply.Item... items) {
    Effect.AskState scan = scans.remove(0);
    context.answered(scan.call(), new Reply.Page(ImmutableList.copyOf(items), more, revision));
    pass(50);
  }

  private void answerWatch(String prefix, long revision, Reply.Item... items) {
    Effect.AskState watch = watches.remove(prefix);
    context.answered(watch.call(), new Reply.Changes(ImmutableList.copyOf(items), revision));
  }

  /** Everything is read at revision 10, with one job and one cancellation. */
  @BeforeEach
  void read() {
    copy.beginIfDue();
    pass(1000);
    answerScan(false, 10, aborted(1, 4));
    answerScan(false, 10);
    answerScan(false, 10);
    answerScan(false, 10, job(1, 3));
    answerScan(false, 10);
    answerScan(false, 10);
    answerScan(false, 10);
    assertTrue(copy.isFollowing());
    assertEquals(7, watches.size());
  }

  private List<String> keys(String prefix) {
    return copy.items(prefix).stream().map(Reply.Item::key).toList();
  }

  @Test
  void changesAreTakenInOrderWithTheirRevisions() {
    answerWatch(StoreKeys.JOB, 14, job(2, 12), job(3, 14));
    pass(1000);
    answerWatch(StoreKeys.JOB, 20, removed(StoreKeys.job("run-2"), 18));
    assertEquals(List.of("job/run-1", "job/run-3"), keys(StoreKeys.JOB));
    assertEquals(10, copy.revision(), "the other ranges are no further");
    pass(1000);
    assertEquals(20, ((StoreRequest.Watch) watches.get(StoreKeys.JOB).op()).after());
  }

  @Test
  void watchesPauseForTheirShareOfTheRate() {
    answerWatch(StoreKeys.JOB, 14, job(2, 12));
    pass(200);
    assertNull(watches.get(StoreKeys.JOB), "not at once");
    pass(1000);
    assertEquals(14, ((StoreRequest.Watch) watches.get(StoreKeys.JOB).op()).after());
  }

  @Test
  void aLostAnswerIsAskedForAgainFromTheSameRevision() {
    context.answered(watches.remove(StoreKeys.JOB).call(), new Reply.Unanswered());
    pass(1500);
    assertEquals(10, ((StoreRequest.Watch) watches.get(StoreKeys.JOB).op()).after());
    assertTrue(copy.isFollowing());
  }

  private void assertDropped() {
    assertFalse(copy.isFollowing());
    assertEquals(0, copy.memoryMb());
    copy.beginIfDue();
    pass(1000);
    assertTrue(scans.isEmpty(), "not read anew at once");
    pass(context.leaseMs());
    copy.beginIfDue();
    pass(1000);
    assertFalse(scans.isEmpty(), "but after a while");
  }

  @Test
  void changesThatAreOutOfOrderDropTheCopy() {
    answerWatch(StoreKeys.JOB, 14, job(3, 14), job(2, 12));
    assertDropped();
  }

  @Test
  void changesThatWereTakenBeforeDropTheCopy() {
    answerWatch(StoreKeys.JOB, 14, job(2, 12));
    pass(1000);
    answerWatch(StoreKeys.JOB, 14, job(2, 12));
    assertDropped();
  }

  @Test
  void anAnswerOfAnEarlierRevisionDropsTheCopy() {
    answerWatch(StoreKeys.JOB, 9);
    assertDropped();
  }

  @Test
  void aChangeBeyondTheAnswersRevisionDropsTheCopy() {
    answerWatch(StoreKeys.JOB, 12, job(2, 13));
    assertDropped();
  }

  @Test
  void changesThatTheServiceHasForgottenDropTheCopy() {
    context.answered(watches.remove(StoreKeys.ALLOC).call(), new Reply.Refused(410));
    assertDropped();
  }

  @Test
  void anAnswerThatIsTooLargeDropsTheCopy() {
    context.answered(watches.remove(StoreKeys.ALLOC).call(), new Reply.Oversized());
    assertDropped();
  }

  @Test
  void aRecordThatCanNotBeReadDropsTheCopy() {
    answerWatch(
        StoreKeys.ALLOC,
        12,
        new Reply.Item(StoreKeys.alloc("run-1"), new StoredRecord.Unreadable("spoiled"), 12));
    assertDropped();
  }

  @Test
  void aVersionThatMovesDropsTheCopy() {
    answerWatch(
        StoreKeys.VERSION,
        12,
        new Reply.Item(StoreKeys.VERSION, new StoredRecord.StoredVersion(3), 12));
    assertDropped();
  }

  @Test
  void aCopyThatOutgrowsItsShareOfMemoryIsDropped() {
    List<Reply.Item> many = new ArrayList<>();
    for (int i = 0; i < 80_000; i++) {
      many.add(job(1000 + i, 11 + i));
    }
    answerWatch(StoreKeys.JOB, 100_000, many.toArray(new Reply.Item[0]));
    assertDropped();
  }

  @Test
  void anAnswerFromBeforeAPageWasReadDropsTheCopy() {
    copy.clear("read anew");
    watches.clear();
    copy.beginIfDue();
    pass(1000);
    for (int i = 0; i < 3; i++) {
      answerScan(false, 10);
    }
    answerScan(true, 10, job(1, 3));
    answerScan(false, 15, job(2, 15));
    for (int i = 0; i < 3; i++) {
      answerScan(false, 15);
    }
    answerWatch(StoreKeys.JOB, 13, removed(StoreKeys.job("run-2"), 12));
    assertDropped();
  }

  /** What changes while pages are read is in a later page and comes again with the watch. */
  @Test
  void aPageThatIsNewerThanTheFirstIsNotSetBack() {
    copy.clear("read anew");
    watches.clear();
    copy.beginIfDue();
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
        StoreKeys.JOB,
        15,
        removed(StoreKeys.job("run-2"), 12),
        removed(StoreKeys.job("run-4"), 13),
        job(2, 15));
    assertEquals(List.of("job/run-1", "job/run-2"), keys(StoreKeys.JOB));
  }

  /** A cancellation that was confirmed while the answer was under way is not in it. */
  @Test
  void theCopyIsProvedUpToTheMomentOfTheQuestion() {
    long askedMs = context.nowMs;
    catchUp(30);
    pass(700);
    answerWatch(StoreKeys.ABORT, 31);
    assertTrue(copy.caughtUpMs(StoreKeys.ABORT) <= askedMs + 50, "not that of the answer");
  }

  // Taking the lead.

  private final List<Boolean> caughtUp = new ArrayList<>();

  private void catchUp(long atLeast) {
    watches.clear();
    copy.catchUp(atLeast, caughtUp::add);
    pass(500);
  }

  @Test
  void aNewLeaderUsesTheCopyOnceEveryRangeHasItsRevision() {
    catchUp(30);
    assertEquals(7, watches.size());
    for (String prefix : List.copyOf(watches.keySet())) {
      assertEquals(List.of(), caughtUp);
      if (prefix.equals(StoreKeys.ABORT)) {
        answerWatch(prefix, 31, aborted(2, 22));
      } else {
        answerWatch(prefix, 30);
      }
    }
    assertEquals(List.of(true), caughtUp);
    assertEquals(30, copy.revision());
    assertEquals(List.of("abort/run-1", "abort/run-2"), keys(StoreKeys.ABORT));
  }

  @Test
  void anAnswerFromBeforeTheLeadIsNotEnough() {
    catchUp(30);
    for (String prefix : List.copyOf(watches.keySet())) {
      answerWatch(prefix, prefix.equals(StoreKeys.ALLOC) ? 29 : 30);
    }
    assertEquals(List.of(), caughtUp);
    pass(1500);
    answerWatch(StoreKeys.ALLOC, 30);
    assertEquals(List.of(true), caughtUp);
  }

  @Test
  void aWatchOpenedBeforeTheLeadSaysNothingAnyMore() {
    Effect.AskState before = watches.get(StoreKeys.JOB);
    catchUp(30);
    context.answered(before.call(), new Reply.Changes(ImmutableList.of(job(2, 12)), 30));
    assertEquals(List.of("job/run-1"), keys(StoreKeys.JOB));
  }

  @Test
  void anOutageIsWaitedForAndAGapHasEverythingRead() {
    catchUp(30);
    context.answered(watches.remove(StoreKeys.JOB).call(), new Reply.Refused(503));
    pass(1500);
    assertEquals(List.of(), caughtUp);
    context.answered(watches.remove(StoreKeys.JOB).call(), new Reply.Refused(410));
    assertEquals(List.of(false), caughtUp);
    assertFalse(copy.isFollowing());
  }
}
