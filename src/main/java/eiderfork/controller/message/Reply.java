package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Heartbeat;
import eiderfork.model.ListedMachine;
import eiderfork.model.MachineType;
import eiderfork.model.StoredRecord;

/** The outcome of a call to another service, worker or peer. */
public sealed interface Reply {
  /** No reply: the request may have been carried out, or may be yet. */
  record Unanswered() implements Reply {}

  /** The response is larger than this node takes, and would be so again. */
  record Oversized() implements Reply {}

  /** The other side refused; nothing was done. */
  record Refused(int status) implements Reply {
    /** The request itself is at fault, or larger than the other side takes; repeats are as well. */
    public boolean isMalformed() {
      return status == 400;
    }

    /** What the request names does not exist. */
    public boolean isNotFound() {
      return status == 404;
    }

    /** What the request names existed, and is not kept any more. */
    public boolean isGone() {
      return status == 410;
    }

    /** More was requested than the other side's limits allow. */
    public boolean isOverLimit() {
      return status == 429;
    }

    /** The other side serves nothing now. */
    public boolean isUnavailable() {
      return status == 503;
    }
  }

  /** The transaction was applied as this revision. */
  record Committed(long revision) implements Reply {}

  /** The transaction was not applied, since the conditions on these keys failed. */
  record Conflict(ImmutableList<String> failedKeys) implements Reply {}

  /** {@code record} is null where the key does not exist. */
  record Value(StoredRecord record, long version) implements Reply {}

  /** A key of the store; {@code record} is null where the key was removed. */
  record Item(String key, StoredRecord record, long version) {}

  /** A part of a range of keys, as of the revision. */
  record Page(ImmutableList<Item> items, boolean hasMore, long revision) implements Reply {}

  /** Changes under a watched prefix; a removed key's record is null. */
  record Changes(ImmutableList<Item> items, long revision) implements Reply {}

  /** A lease was granted or renewed. */
  record Leased(long leaseId) implements Reply {}

  /** The cloud's machine types. */
  record Types(ImmutableList<MachineType> types) implements Reply {}

  /** The machines that were rented. */
  record Rented(ImmutableList<String> machines) implements Reply {}

  /** The cloud has no machine of the requested type; nothing was rented. */
  record NoCapacity() implements Reply {}

  /** The machines were returned, or were gone before. */
  record Returned() implements Reply {}

  /** A page of the cloud's list of machines. */
  record Hosts(ImmutableList<ListedMachine> entries, boolean hasMore) implements Reply {}

  /** A worker's heartbeat, sent after commands ({@code executed}) or instead of executing them. */
  record WorkerReply(boolean executed, Heartbeat heartbeat) implements Reply {}

  /** A peer's status, in reply to a ping. */
  record PeerPong(PeerStatus status) implements Reply {}

  /** A standby has received hints. */
  record HintsAcknowledged() implements Reply {}

  /** A peer's response to a request that was forwarded to it. */
  record ForwardedResponse(UserResponse response) implements Reply {}

  /** A peer's responses to queries that were forwarded to it, in their order. */
  record ForwardedResponses(ImmutableList<UserResponse> responses) implements Reply {}
}
