package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.ReadBarrier;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Queries are answered only once memory holds every cancellation committed before them. */
class ReadBarrierTest {
  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1000);
  private final StoreClient store = new StoreClient(context);
  private final List<String> cancelledUids = new ArrayList<>();
  private final List<Long> caughtUpTimesMs = new ArrayList<>();
  private final ReadBarrier readBarrier =
      new ReadBarrier(
          context,
          store,
          item -> cancelledUids.add(((StoredRecord.Cancellation) item.record()).uid()),
          caughtUpTimesMs::add);

  private Effect.CallStore nextStoreCall() {
    context.advanceBy(1000);
    readBarrier.tick();
    store.sendQueued();
    List<Effect> effects = context.drainEffects();
    assertEquals(1, effects.size());
    return (Effect.CallStore) effects.get(0);
  }

  @Test
  void servesWaitersTogetherButNotFromAReadRequestedBefore() {
    List<String> outcomes = new ArrayList<>();
    readBarrier.advanceTo(5);
    readBarrier.awaitCaughtUp(isCaughtUp -> outcomes.add("first " + isCaughtUp + cancelledUids));
    Effect.CallStore read = nextStoreCall();
    assertEquals(new StoreRequest.Watch(StoreKeys.CANCELLATION_PREFIX, 5, 0), read.request());
    readBarrier.awaitCaughtUp(isCaughtUp -> outcomes.add("second " + isCaughtUp + cancelledUids));
    readBarrier.awaitCaughtUp(isCaughtUp -> outcomes.add("third " + isCaughtUp + cancelledUids));
    readBarrier.tick();
    assertTrue(context.drainEffects().isEmpty(), "sent another read while one is pending");
    long requestedMs = context.nowMs();
    context.advanceBy(400);
    context.completeCall(read.callId(), new Reply.Changes(ImmutableList.of(), 6));
    assertEquals(List.of("first true[]"), outcomes);
    assertEquals(
        List.of(requestedMs),
        caughtUpTimesMs,
        "caught up to the time of the reply instead of the request");
    Effect.CallStore nextRead = nextStoreCall();
    assertEquals(new StoreRequest.Watch(StoreKeys.CANCELLATION_PREFIX, 6, 0), nextRead.request());
    Reply.Item item = new Reply.Item("abort/run-1", new StoredRecord.Cancellation("run-1"), 7);
    context.completeCall(nextRead.callId(), new Reply.Changes(ImmutableList.of(item), 7));
    assertEquals(List.of("first true[]", "second true[run-1]", "third true[run-1]"), outcomes);
  }

  @Test
  void failsWaitersWhenTheReadFailsOrLeadershipIsLost() {
    List<Boolean> outcomes = new ArrayList<>();
    readBarrier.awaitCaughtUp(outcomes::add);
    context.completeCall(nextStoreCall().callId(), new Reply.Refused(503));
    readBarrier.awaitCaughtUp(outcomes::add);
    readBarrier.awaitCaughtUp(outcomes::add);
    Effect.CallStore read = nextStoreCall();
    readBarrier.failWaiters();
    context.completeCall(read.callId(), new Reply.Changes(ImmutableList.of(), 9));
    assertEquals(List.of(false, false, false), outcomes);
  }
}
