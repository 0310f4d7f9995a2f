package eiderfork.controller.autoscaling;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.function.BooleanSupplier;

/** The intent records, each stored before the call to the cloud so that a later leader finds it. */
final class ProvisioningIntents {
  private final LeaderElection election;
  private final StoreClient store;

  ProvisioningIntents(LeaderElection election, StoreClient store) {
    this.election = election;
    this.store = store;
  }

  /**
   * Stores an intent. A write without a reply is retried, since it may have been applied.
   *
   * @param isStillOpen returns whether the request is still open when the reply arrives; if not,
   *     neither callback is run
   */
  void storeIntent(
      String key,
      StoredRecord record,
      BooleanSupplier isStillOpen,
      Runnable onCommitted,
      Runnable onFailed) {
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(election.leaderCondition(), new StoreRequest.Condition(key, 0)),
            ImmutableList.of(StoreRequest.Change.put(key, record))),
        RequestPriority.FLEET,
        reply -> {
          if (!isStillOpen.getAsBoolean() || !election.isLeading()) {
            return;
          }
          if (reply instanceof Reply.Committed || isOwnEarlierWrite(reply)) {
            onCommitted.run();
          } else if (reply instanceof Reply.Conflict) {
            election.onLeaderConditionFailed();
          } else if (reply instanceof Reply.Unanswered) {
            storeIntent(key, record, isStillOpen, onCommitted, onFailed);
          } else {
            onFailed.run();
          }
        });
  }

  /**
   * Returns whether an earlier attempt of this write was applied. The key contains the term, so no
   * other leader writes it: if it exists, this leader has stored it.
   */
  private static boolean isOwnEarlierWrite(Reply reply) {
    return reply instanceof Reply.Conflict conflict
        && !conflict.failedKeys().contains(StoreKeys.LEADER);
  }

  /** Removes the intent of a settled request. */
  void remove(String key) {
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(election.leaderCondition()),
            ImmutableList.of(StoreRequest.Change.remove(key))),
        RequestPriority.CLEANUP,
        reply -> {
          if (reply instanceof Reply.Conflict) {
            election.onLeaderConditionFailed();
          }
        });
  }
}
