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
  private final LeaderElection term;
  private final StoreClient gate;

  ProvisioningIntents(LeaderElection term, StoreClient gate) {
    this.term = term;
    this.gate = gate;
  }

  /**
   * Writes a reservation; one that is left unanswered is repeated, since it may still apply.
   *
   * @param live whether it is still wanted
   */
  void reserve(
      String key, StoredRecord record, BooleanSupplier live, Runnable done, Runnable failed) {
    gate.send(
        new StoreRequest.Transact(
            ImmutableList.of(term.condition(), new StoreRequest.Condition(key, 0)),
            ImmutableList.of(StoreRequest.Change.put(key, record))),
        RequestPriority.FLEET,
        reply -> {
          if (!live.getAsBoolean() || !term.leading()) {
            return;
          }
          if (reply instanceof Reply.Committed) {
            done.run();
          } else if (reply instanceof Reply.Conflict conflict) {
            if (conflict.failed().contains(StoreKeys.LEADER)) {
              term.conditionFailed();
            } else {
              // The key is this term's own: an earlier copy of this write has been applied.
              done.run();
            }
          } else if (reply instanceof Reply.Unanswered) {
            reserve(key, record, live, done, failed);
          } else {
            failed.run();
          }
        });
  }

  /** Removes a reservation that is settled. */
  void drop(String key) {
    gate.send(
        new StoreRequest.Transact(
            ImmutableList.of(term.condition()), ImmutableList.of(StoreRequest.Change.remove(key))),
        RequestPriority.CLEANUP,
        reply -> {
          if (reply instanceof Reply.Conflict) {
            term.conditionFailed();
          }
        });
  }
}
