package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import java.util.ArrayList;
import java.util.List;

/** Elects a node as leader of the first term, for tests of single components of a leader. */
final class ElectedLeader {
  /** A listener that ignores changes of leadership. */
  static final LeaderElection.Listener NO_LISTENER =
      new LeaderElection.Listener() {
        @Override
        public void onElected() {}

        @Override
        public void onLeadershipLost() {}
      };

  private ElectedLeader() {}

  /** Makes the node the leader of term 1 with an empty store. */
  static void elect(ControllerContext context, LeaderElection election) {
    election.tick();
    replyToStoreCall(context, new Reply.Value(null, 0));
    replyToStoreCall(context, new Reply.Value(null, 0));
    replyToStoreCall(context, new Reply.Leased(7));
    replyToStoreCall(context, new Reply.Committed(1));
    assertTrue(election.isLeading());
  }

  /** Replies to the only pending call to the store. */
  static void replyToStoreCall(ControllerContext context, Reply reply) {
    List<Effect.CallStore> pending = drainEffects(context, Effect.CallStore.class);
    assertEquals(1, pending.size());
    context.completeCall(pending.get(0).callId(), reply);
  }

  /** Removes all effects and returns those of this type. */
  static <T extends Effect> List<T> drainEffects(ControllerContext context, Class<T> kind) {
    List<T> found = new ArrayList<>();
    context.drainEffects().stream().filter(kind::isInstance).map(kind::cast).forEach(found::add);
    return found;
  }
}
