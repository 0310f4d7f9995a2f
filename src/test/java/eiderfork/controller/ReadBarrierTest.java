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
  private final StoreClient gate = new StoreClient(context);
  private final List<String> aborted = new ArrayList<>();
  private final List<Long> caughtUp = new ArrayList<>();
  private final ReadBarrier readBarrier =
      new ReadBarrier(
          context,
          gate,
          item -> aborted.add(((StoredRecord.Aborted) item.record()).uid()),
          caughtUp::add);

  private Effect.AskState asked() {
    context.nowMs += 1000;
    readBarrier.tick();
    gate.pump();
    List<Effect> effects = context.takeEffects();
    assertEquals(1, effects.size());
    return (Effect.AskState) effects.get(0);
  }

  @Test
  void servesQuestionsTogetherAndNeverFromAnEarlierLook() {
    List<String> told = new ArrayList<>();
    readBarrier.start(5);
    readBarrier.pass(ok -> told.add("first " + ok + aborted));
    Effect.AskState look = asked();
    assertEquals(new StoreRequest.Watch(StoreKeys.ABORT, 5, 0), look.op());
    readBarrier.pass(ok -> told.add("second " + ok + aborted));
    readBarrier.pass(ok -> told.add("third " + ok + aborted));
    readBarrier.tick();
    assertTrue(context.takeEffects().isEmpty(), "a look is under way");
    long askedMs = context.nowMs;
    context.nowMs += 400;
    context.answered(look.call(), new Reply.Changes(ImmutableList.of(), 6));
    assertEquals(List.of("first true[]"), told);
    assertEquals(List.of(askedMs), caughtUp, "it speaks of when it was asked, not of its arrival");
    Effect.AskState next = asked();
    assertEquals(new StoreRequest.Watch(StoreKeys.ABORT, 6, 0), next.op());
    Reply.Item item = new Reply.Item("abort/run-1", new StoredRecord.Aborted("run-1"), 7);
    context.answered(next.call(), new Reply.Changes(ImmutableList.of(item), 7));
    assertEquals(List.of("first true[]", "second true[run-1]", "third true[run-1]"), told);
  }

  @Test
  void saysNoWhenTheLookFailsOrTheLeadIsLost() {
    List<Boolean> told = new ArrayList<>();
    readBarrier.pass(told::add);
    context.answered(asked().call(), new Reply.Refused(503));
    readBarrier.pass(told::add);
    readBarrier.pass(told::add);
    Effect.AskState look = asked();
    readBarrier.stop();
    context.answered(look.call(), new Reply.Changes(ImmutableList.of(), 9));
    assertEquals(List.of(false, false, false), told);
  }
}
