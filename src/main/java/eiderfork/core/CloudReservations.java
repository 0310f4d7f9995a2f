package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.core.message.Keys;
import eiderfork.core.message.Reply;
import eiderfork.core.message.StateOp;
import eiderfork.core.state.StateGate;
import eiderfork.core.state.Term;
import eiderfork.core.state.Urgency;
import eiderfork.model.Record;
import java.util.function.BooleanSupplier;

/** The records that stand in the state service before the cloud is asked for anything. */
final class CloudReservations {
  private final Term term;
  private final StateGate gate;

  CloudReservations(Term term, StateGate gate) {
    this.term = term;
    this.gate = gate;
  }

  /**
   * Writes a reservation; one that is left unanswered is repeated, since it may still apply.
   *
   * @param live whether it is still wanted
   */
  void reserve(String key, Record record, BooleanSupplier live, Runnable done, Runnable failed) {
    gate.send(
        new StateOp.Transact(
            ImmutableList.of(term.condition(), new StateOp.Condition(key, 0)),
            ImmutableList.of(StateOp.Change.put(key, record))),
        Urgency.FLEET,
        reply -> {
          if (!live.getAsBoolean() || !term.leading()) {
            return;
          }
          if (reply instanceof Reply.Committed) {
            done.run();
          } else if (reply instanceof Reply.Conflict conflict) {
            if (conflict.failed().contains(Keys.LEADER)) {
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
        new StateOp.Transact(
            ImmutableList.of(term.condition()), ImmutableList.of(StateOp.Change.remove(key))),
        Urgency.CLEANUP,
        reply -> {
          if (reply instanceof Reply.Conflict) {
            term.conditionFailed();
          }
        });
  }
}
