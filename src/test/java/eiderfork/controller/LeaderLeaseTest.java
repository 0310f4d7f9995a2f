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

/** A controller that was suspended relies on no leader lease that may have expired meanwhile. */
class LeaderLeaseTest {
  private static final long LEASE_MS = 3300;

  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
  private final StoreClient store = new StoreClient(context);
  private final LeaderElection election =
      new LeaderElection(context, store, ElectedLeader.NO_LISTENER);

  /** Returns the only pending effect, which must be a call to the store. */
  private Effect.CallStore pendingStoreCall() {
    List<Effect> effects = new ArrayList<>(context.drainEffects());
    assertEquals(1, effects.size(), effects.toString());
    return assertInstanceOf(Effect.CallStore.class, effects.get(0));
  }

  private void reply(Effect.CallStore storeCall, Reply reply) {
    context.completeCall(storeCall.callId(), reply);
    store.sendQueued();
  }

  private void advance(long ms) {
    context.advanceBy(ms);
    store.sendQueued();
  }

  /** Runs an election up to its request for a lease, and returns this request. */
  private Effect.CallStore electUpToGrant() {
    election.tick();
    reply(pendingStoreCall(), new Reply.Value(null, 0));
    reply(pendingStoreCall(), new Reply.Value(null, 0));
    Effect.CallStore grant = pendingStoreCall();
    assertEquals(new StoreRequest.GrantLease(LEASE_MS), grant.request());
    return grant;
  }

  /**
   * The lease once counted from the time at which the node took the leadership. A node that was
   * suspended after the grant considered its lease valid for up to half a lease too long, while
   * another node could already lead.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 500, 1000, 2000, 2900, 3200})
  void leaseCountsFromItsRequest(long pauseMs) {
    Effect.CallStore grant = electUpToGrant();
    long requestedMs = context.nowMs();
    advance(pauseMs);
    reply(grant, new Reply.Leased(7));
    Effect.CallStore claim = pendingStoreCall();
    assertInstanceOf(StoreRequest.Transaction.class, claim.request());
    reply(claim, new Reply.Committed(11));
    assertTrue(election.isLeading());
    for (long ms = pauseMs; ms <= 2 * LEASE_MS; ms += 50) {
      context.advanceTo(requestedMs + ms);
      assertFalse(
          election.isLeaseValid() && ms >= LEASE_MS,
          "lease considered valid " + ms + " ms after its request");
    }
  }

  /** A renewed lease, too, counts from the time of the request, not from that of its reply. */
  @ParameterizedTest
  @ValueSource(longs = {0, 1000, 3000, 5000, 20_000})
  void renewalCountsFromItsRequest(long pauseMs) {
    reply(electUpToGrant(), new Reply.Leased(7));
    reply(pendingStoreCall(), new Reply.Committed(11));
    advance(50);
    long renewalRequestedMs = context.nowMs();
    election.tick();
    Effect.CallStore renewal = pendingStoreCall();
    assertEquals(new StoreRequest.RenewLease(7), renewal.request());
    advance(pauseMs);
    reply(renewal, new Reply.Leased(7));
    assertEquals(pauseMs < LEASE_MS * 9 / 10, election.isLeaseValid());
    context.advanceTo(Math.max(context.nowMs(), renewalRequestedMs + LEASE_MS));
    assertFalse(election.isLeaseValid());
  }

  /** A leader that resumes after its lease relies on it only once the store confirms a renewal. */
  @Test
  void leaseIsInvalidAfterAPauseUntilARenewalIsConfirmed() {
    reply(electUpToGrant(), new Reply.Leased(7));
    reply(pendingStoreCall(), new Reply.Committed(11));
    assertTrue(election.isLeaseValid());
    advance(20_000);
    assertFalse(election.isLeaseValid());
    election.tick();
    assertFalse(election.isLeaseValid());
    reply(pendingStoreCall(), new Reply.Refused(404));
    assertFalse(election.isLeading());
  }
}
