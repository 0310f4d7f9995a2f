package eiderfork.controller.standby;

import eiderfork.controller.message.Reply;
import eiderfork.model.StoredRecord;
import java.util.Collection;
import java.util.TreeMap;

/** A copy of the keys under one prefix as of a revision, read once and then updated by watches. */
final class ReplicatedRange {
  private static final long NOT_READ = -1;

  private final String prefix;
  private final TreeMap<String, Reply.Item> items = new TreeMap<>();
  private long revision = NOT_READ;
  private long newestPageRevision = NOT_READ;
  private long caughtUpMs;
  private long bytes;

  /** Creates a range of which nothing has been read. */
  ReplicatedRange(String prefix) {
    this.prefix = prefix;
  }

  /** Returns the prefix of the keys. */
  String prefix() {
    return prefix;
  }

  /** Returns the revision up to which every change has been applied. */
  long revision() {
    return revision;
  }

  /** Returns a time up to which all changes have been applied. */
  long caughtUpMs() {
    return caughtUpMs;
  }

  /** Returns the estimated memory use of the items in bytes, rather too high than too low. */
  long bytes() {
    return bytes;
  }

  /** Returns the number of keys. */
  int size() {
    return items.size();
  }

  /** Returns the items in the order of their keys. */
  Collection<Reply.Item> items() {
    return items.values();
  }

  /** Returns the items whose keys follow {@code key}. */
  Collection<Reply.Item> itemsAfter(String key) {
    return items.tailMap(key, false).values();
  }

  /** Returns the item of a key, or null. */
  Reply.Item item(String key) {
    return items.get(key);
  }

  /**
   * Adds a page of the initial read. Changes made while pages are read are delivered again by the
   * watch, which continues from the revision of the first page.
   *
   * @throws ReplicaInvalidException if the page contains an unreadable record
   */
  void addPage(Reply.Page page, long requestedMs) throws ReplicaInvalidException {
    if (revision == NOT_READ) {
      revision = page.revision();
      caughtUpMs = requestedMs;
    }
    newestPageRevision = Math.max(newestPageRevision, page.revision());
    for (Reply.Item item : page.items()) {
      put(item);
    }
  }

  /**
   * Applies the reply to a watch of the changes after a revision.
   *
   * @throws ReplicaInvalidException if the reply does not continue from the last applied revision
   */
  void applyChanges(Reply.Changes changes, long afterRevision, long requestedMs)
      throws ReplicaInvalidException {
    // A reply older than a page would overwrite newer items of that page.
    if (afterRevision != revision
        || changes.revision() < Math.max(afterRevision, newestPageRevision)) {
      throw new ReplicaInvalidException(
          "watch reply for " + prefix + " does not continue from the last applied revision");
    }
    long lastVersion = afterRevision;
    for (Reply.Item change : changes.items()) {
      boolean inOrder = change.version() > afterRevision && change.version() >= lastVersion;
      if (!inOrder || change.version() > changes.revision()) {
        throw new ReplicaInvalidException("changes of " + prefix + " are out of order");
      }
      lastVersion = change.version();
      apply(change);
    }
    revision = changes.revision();
    caughtUpMs = requestedMs;
  }

  private void apply(Reply.Item change) throws ReplicaInvalidException {
    if (change.record() == null) {
      remove(change.key());
    } else {
      put(change);
    }
  }

  private void put(Reply.Item item) throws ReplicaInvalidException {
    if (item.record() instanceof StoredRecord.Unreadable unreadable) {
      throw new ReplicaInvalidException(item.key() + " can't be read: " + unreadable.reason());
    }
    remove(item.key());
    items.put(item.key(), item);
    bytes += RecordMemoryEstimator.estimateBytes(item);
  }

  private void remove(String key) {
    Reply.Item removed = items.remove(key);
    if (removed != null) {
      bytes -= RecordMemoryEstimator.estimateBytes(removed);
    }
  }
}
