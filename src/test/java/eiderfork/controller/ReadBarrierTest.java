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

/** A query is answered only from memory that holds every cancellation committed before it. */
class ReadBarrierTest {
  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1000);
  private final StoreClient store = new StoreClient(context);
  private final List<String> aborted = new ArrayList<>();
  private final List<Long> caughtUp = new ArrayList<>();
  private final ReadBarrier readBarrier =
      new ReadBarrier(
          context,
          store,
          item -> aborted.add(((StoredRecord.Cancellation) item.record()).uid()),
          caughtUp::add);

  private Effect.CallStore nextStoreCall() {
    context.advanceBy(1000);
    readBarrier.tick();
    store.sendQueued();
    List<Effect> effects = context.drainEffects();
    assertEquals(1, effects.size());
    return (Effect.CallStore) effects.get(0);
  }

  @Test
  void servesWaitersTogetherAndNeverFromAnEarlierRead() {
    List<String> outcomes = new ArrayList<>();
    readBarrier.advanceTo(5);
    readBarrier.awaitCaughtUp(ok -> outcomes.add("first " + ok + aborted));
    Effect.CallStore read = nextStoreCall();
    assertEquals(new StoreRequest.Watch(StoreKeys.CANCELLATION_PREFIX, 5, 0), read.request());
    readBarrier.awaitCaughtUp(ok -> outcomes.add("second " + ok + aborted));
    readBarrier.awaitCaughtUp(ok -> outcomes.add("third " + ok + aborted));
    readBarrier.tick();
    assertTrue(context.drainEffects().isEmpty(), "a read is pending");
    long requestedMs = context.nowMs();
    context.advanceBy(400);
    context.completeCall(read.callId(), new Reply.Changes(ImmutableList.of(), 6));
    assertEquals(List.of("first true[]"), outcomes);
    assertEquals(List.of(requestedMs), caughtUp, "the time of the request, not of the reply");
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
