package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Record;

/** A request to the state service. */
public sealed interface StateOp {
  record Condition(String key, long version) {}

  /** A change: {@code record} null removes the key; lease 0 is none. */
  record Change(String key, Record record, long lease) {
    static Change put(String key, Record record) {
      return new Change(key, record, 0);
    }

    static Change remove(String key) {
      return new Change(key, null, 0);
    }
  }

  record Transact(ImmutableList<Condition> conditions, ImmutableList<Change> changes)
      implements StateOp {}

  record Get(String key) implements StateOp {}

  record Scan(String prefix, String after) implements StateOp {}

  record Watch(String prefix, long after, long waitMs) implements StateOp {}

  record Grant(long lifeMs) implements StateOp {}

  record Renew(long lease) implements StateOp {}

  record Release(long lease) implements StateOp {}
}
