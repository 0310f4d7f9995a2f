package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import java.util.ArrayList;
import java.util.List;

/** Has a node take the first term, for tests of single parts of a leader. */
final class ElectedLeader {
  /** A listener for tests in which nothing hangs on who leads. */
  static final LeaderElection.Listener NO_LISTENER =
      new LeaderElection.Listener() {
        @Override
        public void onElected() {}

        @Override
        public void onLeadershipLost() {}
      };

  private ElectedLeader() {}

  /** The store holds nothing, and the node becomes the leader of term 1. */
  static void elect(ControllerContext context, LeaderElection election) {
    election.tick();
    replyToStoreCall(context, new Reply.Value(null, 0));
    replyToStoreCall(context, new Reply.Value(null, 0));
    replyToStoreCall(context, new Reply.Leased(7));
    replyToStoreCall(context, new Reply.Committed(1));
    assertTrue(election.isLeading());
  }

  /** Answers the one call to the store that is open. */
  static void replyToStoreCall(ControllerContext context, Reply reply) {
    List<Effect.CallStore> pending = drainEffects(context, Effect.CallStore.class);
    assertEquals(1, pending.size());
    context.completeCall(pending.get(0).callId(), reply);
  }

  /** Takes all effects, and gives those of this kind. */
  static <T extends Effect> List<T> drainEffects(ControllerContext context, Class<T> kind) {
    List<T> found = new ArrayList<>();
    context.drainEffects().stream().filter(kind::isInstance).map(kind::cast).forEach(found::add);
    return found;
  }
}
