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

/** A question is answered only from memory that holds every cancellation committed before it. */
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

  private Effect.CallStore asked() {
    context.nowMs += 1000;
    readBarrier.tick();
    store.sendQueued();
    List<Effect> effects = context.drainEffects();
    assertEquals(1, effects.size());
    return (Effect.CallStore) effects.get(0);
  }

  @Test
  void servesQuestionsTogetherAndNeverFromAnEarlierLook() {
    List<String> told = new ArrayList<>();
    readBarrier.advanceTo(5);
    readBarrier.awaitCaughtUp(ok -> told.add("first " + ok + aborted));
    Effect.CallStore look = asked();
    assertEquals(new StoreRequest.Watch(StoreKeys.CANCELLATION_PREFIX, 5, 0), look.request());
    readBarrier.awaitCaughtUp(ok -> told.add("second " + ok + aborted));
    readBarrier.awaitCaughtUp(ok -> told.add("third " + ok + aborted));
    readBarrier.tick();
    assertTrue(context.drainEffects().isEmpty(), "a look is under way");
    long requestedMs = context.nowMs;
    context.nowMs += 400;
    context.completeCall(look.callId(), new Reply.Changes(ImmutableList.of(), 6));
    assertEquals(List.of("first true[]"), told);
    assertEquals(
        List.of(requestedMs), caughtUp, "it speaks of when it was asked, not of its arrival");
    Effect.CallStore next = asked();
    assertEquals(new StoreRequest.Watch(StoreKeys.CANCELLATION_PREFIX, 6, 0), next.request());
    Reply.Item item = new Reply.Item("abort/run-1", new StoredRecord.Cancellation("run-1"), 7);
    context.completeCall(next.callId(), new Reply.Changes(ImmutableList.of(item), 7));
    assertEquals(List.of("first true[]", "second true[run-1]", "third true[run-1]"), told);
  }

  @Test
  void saysNoWhenTheLookFailsOrTheLeadIsLost() {
    List<Boolean> told = new ArrayList<>();
    readBarrier.awaitCaughtUp(told::add);
    context.completeCall(asked().callId(), new Reply.Refused(503));
    readBarrier.awaitCaughtUp(told::add);
    readBarrier.awaitCaughtUp(told::add);
    Effect.CallStore look = asked();
    readBarrier.failWaiters();
    context.completeCall(look.callId(), new Reply.Changes(ImmutableList.of(), 9));
    assertEquals(List.of(false, false, false), told);
  }
}
