package eiderfork.core.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Record;

/** A request to the state service. */
public sealed interface StateOp {
  /** The key has this version; 0 where it does not exist. */
  record Condition(String key, long version) {}

  /** A change: {@code record} null removes the key; lease 0 is none. */
  record Change(String key, Record record, long lease) {
    /** Writes a key that hangs on no lease. */
    public static Change put(String key, Record record) {
      return new Change(key, record, 0);
    }

    /** Removes a key. */
    public static Change remove(String key) {
      return new Change(key, null, 0);
    }
  }

  /** Applies all changes if all conditions hold, or nothing. */
  record Transact(ImmutableList<Condition> conditions, ImmutableList<Change> changes)
      implements StateOp {}

  /** Reads one key. */
  record Get(String key) implements StateOp {}

  /** Reads a page of the keys with this prefix, beginning after {@code after}. */
  record Scan(String prefix, String after) implements StateOp {}

  /** Waits for changes of keys with this prefix after a revision. */
  record Watch(String prefix, long after, long waitMs) implements StateOp {}

  /** Asks for a new lease. */
  record Grant(long lifeMs) implements StateOp {}

  /** Renews a lease. */
  record Renew(long lease) implements StateOp {}

  /** Ends a lease, and with it the keys attached to it. */
  record Release(long lease) implements StateOp {}
}
