package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.StoredRecord;

/** A request to the key-value store. */
public sealed interface StoreRequest {
  /** A condition that a key has this version; version 0 means that it does not exist. */
  record Condition(String key, long version) {}

  /**
   * A write of a key, or its removal if {@code record} is null.
   *
   * @param leaseId the lease that the key is attached to; 0 for none
   */
  record Change(String key, StoredRecord record, long leaseId) {
    /** Returns a write of a key that is not attached to a lease. */
    public static Change put(String key, StoredRecord record) {
      return new Change(key, record, 0);
    }

    /** Returns the removal of a key. */
    public static Change remove(String key) {
      return new Change(key, null, 0);
    }
  }

  /** Applies all changes atomically if all conditions hold; otherwise applies none. */
  record Transaction(ImmutableList<Condition> conditions, ImmutableList<Change> changes)
      implements StoreRequest {}

  /** Reads one key. */
  record Get(String key) implements StoreRequest {}

  /** Reads a page of the keys with this prefix that sort after {@code afterKey}. */
  record Scan(String prefix, String afterKey) implements StoreRequest {}

  /** Waits up to {@code timeoutMs} for changes of keys with this prefix after a revision. */
  record Watch(String prefix, long afterRevision, long timeoutMs) implements StoreRequest {}

  /** Grants a new lease. */
  record GrantLease(long ttlMs) implements StoreRequest {}

  /** Renews a lease. */
  record RenewLease(long leaseId) implements StoreRequest {}

  /** Revokes a lease, which removes the keys attached to it. */
  record RevokeLease(long leaseId) implements StoreRequest {}
}
