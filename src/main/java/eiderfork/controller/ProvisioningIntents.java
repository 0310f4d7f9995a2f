package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.function.BooleanSupplier;

/** The records that stand in the state service before the cloud is asked for anything. */
final class ProvisioningIntents {
  private final LeaderElection election;
  private final StoreClient store;

  ProvisioningIntents(LeaderElection election, StoreClient store) {
    this.election = election;
    this.store = store;
  }

  /**
   * Writes a reservation; one that is left unanswered is repeated, since it may still apply.
   *
   * @param isStillWanted whether it is still wanted
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
          if (reply instanceof Reply.Committed) {
            onCommitted.run();
          } else if (reply instanceof Reply.Conflict conflict) {
            if (conflict.failedKeys().contains(StoreKeys.LEADER)) {
              election.leaderConditionFailed();
            } else {
              // The key is this term's own: an earlier copy of this write has been applied.
              onCommitted.run();
            }
          } else if (reply instanceof Reply.Unanswered) {
            reserve(key, record, isStillWanted, onCommitted, onFailed);
          } else {
            onFailed.run();
          }
        });
  }

  /** Removes a reservation that is settled. */
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
