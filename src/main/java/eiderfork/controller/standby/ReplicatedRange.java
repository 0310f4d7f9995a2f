package eiderfork.controller.standby;

import eiderfork.controller.message.Reply;
import eiderfork.model.StoredRecord;
import java.util.Collection;
import java.util.TreeMap;

/** The keys under one prefix as of a revision: read once, then kept current by watches. */
final class ReplicatedRange {
  private static final long NOT_READ = -1;

  private final String prefix;
  private final TreeMap<String, Reply.Item> items = new TreeMap<>();
  private long revision = NOT_READ;
  private long newestPageRevision = NOT_READ;
  private long caughtUpMs;
  private long bytes;

  /** Makes a range of which nothing is read. */
  ReplicatedRange(String prefix) {
    this.prefix = prefix;
  }

  /** The prefix of the keys. */
  String prefix() {
    return prefix;
  }

  /** The revision up to which every change has been applied. */
  long revision() {
    return revision;
  }

  /** A moment up to which all changes have been applied. */
  long caughtUpMs() {
    return caughtUpMs;
  }

  /** What these keys take of memory, as an estimate on the high side. */
  long bytes() {
    return bytes;
  }

  /** How many keys there are. */
  int size() {
    return items.size();
  }

  /** The keys' items in order. */
  Collection<Reply.Item> items() {
    return items.values();
  }

  /** The items behind one key. */
  Collection<Reply.Item> itemsAfter(String key) {
    return items.tailMap(key, false).values();
  }

  /** The item of a key, or null. */
  Reply.Item item(String key) {
    return items.get(key);
  }

  /**
   * Adds a page of the first read. What changes while pages are read comes again with the watch
   * that continues from the first page's revision.
   *
   * @throws ReplicaInvalidException where it holds what can't be read
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
   * Applies the reply to a watch of what came after a revision.
   *
   * @throws ReplicaInvalidException where the reply does not continue what was applied
   */
  void applyChanges(Reply.Changes changes, long afterRevision, long requestedMs)
      throws ReplicaInvalidException {
    // A reply from before a page was read would undo what the page held.
    if (afterRevision != revision
        || changes.revision() < Math.max(afterRevision, newestPageRevision)) {
      throw new ReplicaInvalidException(
          "a reply for " + prefix + " does not continue the one before");
    }
    long last = afterRevision;
    for (Reply.Item change : changes.items()) {
      boolean follows = change.version() > afterRevision && change.version() >= last;
      if (!follows || change.version() > changes.revision()) {
        throw new ReplicaInvalidException("changes of " + prefix + " are out of order");
      }
      last = change.version();
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
    bytes += RecordFootprint.bytes(item);
  }

  private void remove(String key) {
    Reply.Item removed = items.remove(key);
    if (removed != null) {
      bytes -= RecordFootprint.bytes(removed);
    }
  }
}
