package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.StoreClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A controller that stands still while its clock runs on is sure of no lease that may be over. */
class LeaderLeaseTest {
  private static final long LEASE_MS = 3300;

  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
  private final StoreClient gate = new StoreClient(context);
  private final LeaderElection term =
      new LeaderElection(
          context,
          gate,
          new LeaderElection.Listener() {
            @Override
            public void elected() {}

            @Override
            public void deposed() {}
          });

  /** The one call to the state service that is open now. */
  private Effect.AskState asked() {
    List<Effect> effects = new ArrayList<>(context.takeEffects());
    assertEquals(1, effects.size(), effects.toString());
    return assertInstanceOf(Effect.AskState.class, effects.get(0));
  }

  private void answer(Effect.AskState asked, Reply reply) {
    context.answered(asked.call(), reply);
    gate.pump();
  }

  private void pass(long ms) {
    context.nowMs += ms;
    gate.pump();
  }

  /** Follows the steps of an election up to the lease that was granted. */
  private Effect.AskState standUpToGrant() {
    term.tick();
    answer(asked(), new Reply.Value(null, 0));
    answer(asked(), new Reply.Value(null, 0));
    Effect.AskState grant = asked();
    assertEquals(new StoreRequest.Grant(LEASE_MS), grant.op());
    return grant;
  }

  /**
   * The lease was counted from when the lead was taken: a node that stood still after the grant was
   * sure of it for up to half a lease longer than it lasted, and another could lead by then.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 500, 1000, 2000, 2900, 3200})
  void theLeaseCountsFromWhenItWasAskedFor(long stillMs) {
    Effect.AskState grant = standUpToGrant();
    long grantedMs = context.nowMs;
    pass(stillMs);
    answer(grant, new Reply.Leased(7));
    Effect.AskState take = asked();
    assertInstanceOf(StoreRequest.Transact.class, take.op());
    answer(take, new Reply.Committed(11));
    assertTrue(term.leading());
    for (long ms = stillMs; ms <= 2 * LEASE_MS; ms += 50) {
      context.nowMs = grantedMs + ms;
      assertFalse(term.sure() && ms >= LEASE_MS, "sure " + ms + " ms after the grant");
    }
  }

  /** The same for the answer to the transaction, and for that to a renewal. */
  @ParameterizedTest
  @ValueSource(longs = {0, 1000, 3000, 5000, 20_000})
  void aRenewalCountsFromWhenItWasAskedFor(long stillMs) {
    answer(standUpToGrant(), new Reply.Leased(7));
    answer(asked(), new Reply.Committed(11));
    pass(50);
    long renewedMs = context.nowMs;
    term.tick();
    Effect.AskState renewal = asked();
    assertEquals(new StoreRequest.Renew(7), renewal.op());
    pass(stillMs);
    answer(renewal, new Reply.Leased(7));
    assertEquals(stillMs < LEASE_MS * 9 / 10, term.sure());
    context.nowMs = Math.max(context.nowMs, renewedMs + LEASE_MS);
    assertFalse(term.sure());
  }

  /**
   * Woken after its lease, a node says so to nobody's face until the state service has answered.
   */
  @Test
  void afterAStillStandNothingIsSureBeforeARenewalIsAnswered() {
    answer(standUpToGrant(), new Reply.Leased(7));
    answer(asked(), new Reply.Committed(11));
    assertTrue(term.sure());
    pass(20_000);
    assertFalse(term.sure());
    term.tick();
    assertFalse(term.sure());
    answer(asked(), new Reply.Refused(404));
    assertFalse(term.leading());
  }
}
