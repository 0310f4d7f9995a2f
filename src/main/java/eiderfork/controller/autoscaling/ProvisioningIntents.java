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

/** The records that are stored before the cloud is called, so that a later leader finds them. */
final class ProvisioningIntents {
  private final LeaderElection election;
  private final StoreClient store;

  ProvisioningIntents(LeaderElection election, StoreClient store) {
    this.election = election;
    this.store = store;
  }

  /**
   * Stores an intent. A write without an answer is repeated, since it may have been applied.
   *
   * @param isStillWanted whether the outcome still matters when it is known
   */
  void reserve(
      String key,
      StoredRecord record,
      BooleanSupplier isStillWanted,
      Runnable onCommitted,
      Runnable onFailed) {
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(election.leaderCondition(), new StoreRequest.Condition(key, 0)),
            ImmutableList.of(StoreRequest.Change.put(key, record))),
        RequestPriority.FLEET,
        reply -> {
          if (!isStillWanted.getAsBoolean() || !election.isLeading()) {
            return;
          }
          if (reply instanceof Reply.Committed || isOwnEarlierWrite(reply)) {
            onCommitted.run();
          } else if (reply instanceof Reply.Conflict) {
            election.leaderConditionFailed();
          } else if (reply instanceof Reply.Unanswered) {
            reserve(key, record, isStillWanted, onCommitted, onFailed);
          } else {
            onFailed.run();
          }
        });
  }

  /** No other term writes the key, so where it exists an earlier try of the write was applied. */
  private static boolean isOwnEarlierWrite(Reply reply) {
    return reply instanceof Reply.Conflict conflict
        && !conflict.failedKeys().contains(StoreKeys.LEADER);
  }

  /** Removes an intent that is settled. */
  void remove(String key) {
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(election.leaderCondition()),
            ImmutableList.of(StoreRequest.Change.remove(key))),
        RequestPriority.CLEANUP,
        reply -> {
          if (reply instanceof Reply.Conflict) {
            election.leaderConditionFailed();
          }
        });
  }
}
