package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.StoredRecord;

/** A request to the key-value store. */
public sealed interface StoreRequest {
  /** A condition that the key has this version; 0 where it does not exist. */
  record Condition(String key, long version) {}

  /** A change: {@code record} null removes the key; lease 0 is none. */
  record Change(String key, StoredRecord record, long leaseId) {
    /** Writes a key that is attached to no lease. */
    public static Change put(String key, StoredRecord record) {
      return new Change(key, record, 0);
    }

    /** Removes a key. */
    public static Change remove(String key) {
      return new Change(key, null, 0);
    }
  }

  /** Compare and swap: applies all changes if all conditions hold, or none. */
  record Transaction(ImmutableList<Condition> conditions, ImmutableList<Change> changes)
      implements StoreRequest {}

  /** Reads one key. */
  record Get(String key) implements StoreRequest {}

  /** Reads a page of the keys with this prefix, beginning after {@code afterKey}. */
  record Scan(String prefix, String afterKey) implements StoreRequest {}

  /** Waits for changes of keys with this prefix after a revision. */
  record Watch(String prefix, long afterRevision, long timeoutMs) implements StoreRequest {}

  /** Grants a new lease. */
  record GrantLease(long ttlMs) implements StoreRequest {}

  /** Renews a lease. */
  record RenewLease(long leaseId) implements StoreRequest {}

  /** Ends a lease, and with it the keys attached to it. */
  record RevokeLease(long leaseId) implements StoreRequest {}
}
