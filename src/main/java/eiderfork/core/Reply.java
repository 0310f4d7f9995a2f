package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.model.HostEntry;
import eiderfork.model.MachineType;
import eiderfork.model.Record;
import eiderfork.model.Report;

/** What came of a call to another party. */
public sealed interface Reply {
  /** No reply: the request may have been carried out, or may be yet. */
  record Unanswered() implements Reply {}

  /** The other side refused; nothing was done. */
  record Refused(int status) implements Reply {}

  record Committed(long revision) implements Reply {}

  record Conflict(ImmutableList<String> failed) implements Reply {}

  /** {@code record} is null where the key does not exist. */
  record Value(Record record, long version) implements Reply {}

  record Item(String key, Record record, long version) {}

  record Page(ImmutableList<Item> items, boolean more, long revision) implements Reply {}

  /** Changes under a watched prefix; a removed key's record is null. */
  record Changes(ImmutableList<Item> items, long revision) implements Reply {}

  record Leased(long lease) implements Reply {}

  record Types(ImmutableList<MachineType> types) implements Reply {}

  record Rented(ImmutableList<String> machines) implements Reply {}

  /** The cloud has none of the kind asked for; nothing was rented. */
  record NoCapacity() implements Reply {}

  record Returned() implements Reply {}

  record Hosts(ImmutableList<HostEntry> entries, boolean more) implements Reply {}

  /** A worker's report, sent back for commands ({@code executed}) or instead of them. */
  record WorkerSays(boolean executed, Report report) implements Reply {}

  record PeerSays(PeerView view) implements Reply {}

  record PeerAnswered(UserAnswer answer) implements Reply {}

  record PeerAnsweredAll(ImmutableList<UserAnswer> answers) implements Reply {}
}
