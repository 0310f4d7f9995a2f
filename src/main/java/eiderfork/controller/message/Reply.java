package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Heartbeat;
import eiderfork.model.ListedMachine;
import eiderfork.model.MachineType;
import eiderfork.model.StoredRecord;

/** The outcome of an {@link Effect.Call} to another service, a worker or a peer. */
public sealed interface Reply {
  /** No reply in time; the request may have been executed, or may still be. */
  record Unanswered() implements Reply {}

  /** The reply exceeded the size limit of this node, and would exceed it again on a retry. */
  record Oversized() implements Reply {}

  /** The request was refused with an HTTP error status; it had no effect. */
  record Refused(int status) implements Reply {
    /** Returns whether the request is invalid or too large, so that retries would fail as well. */
    public boolean isMalformed() {
      return status == 400;
    }

    /** Returns whether the requested object does not exist. */
    public boolean isNotFound() {
      return status == 404;
    }

    /** Returns whether the requested object existed but is no longer kept. */
    public boolean isGone() {
      return status == 410;
    }

    /** Returns whether the request exceeded a rate limit of the receiver. */
    public boolean isOverLimit() {
      return status == 429;
    }

    /** Returns whether the receiver is currently unavailable. */
    public boolean isUnavailable() {
      return status == 503;
    }
  }

  /** The transaction was applied and created this revision. */
  record Committed(long revision) implements Reply {}

  /** The transaction was not applied because the conditions on these keys failed. */
  record Conflict(ImmutableList<String> failedKeys) implements Reply {}

  /** The value of a key; {@code record} is null if the key does not exist. */
  record Value(StoredRecord record, long version) implements Reply {}

  /** A key with its value; {@code record} is null if the key was removed. */
  record Item(String key, StoredRecord record, long version) {}

  /** A page of a range of keys, as of {@code revision}. */
  record Page(ImmutableList<Item> items, boolean hasMore, long revision) implements Reply {}

  /** Changes of keys with a watched prefix, up to {@code revision}. */
  record Changes(ImmutableList<Item> items, long revision) implements Reply {}

  /** A lease was granted or renewed. */
  record Leased(long leaseId) implements Reply {}

  /** The machine types that the cloud offers. */
  record Types(ImmutableList<MachineType> types) implements Reply {}

  /** The names of the machines that were rented. */
  record Rented(ImmutableList<String> machines) implements Reply {}

  /** The cloud has no machine of the requested type; nothing was rented. */
  record NoCapacity() implements Reply {}

  /** The machines were returned, or had already been removed. */
  record Returned() implements Reply {}

  /** A page of the cloud's machine list. */
  record Hosts(ImmutableList<ListedMachine> entries, boolean hasMore) implements Reply {}

  /**
   * A worker's heartbeat, in reply to commands or an inspection.
   *
   * @param executed whether the worker accepted the request, rather than refused it
   */
  record WorkerReply(boolean executed, Heartbeat heartbeat) implements Reply {}

  /** The status of a peer, in reply to a ping. */
  record PeerPong(PeerStatus status) implements Reply {}

  /** A standby has acknowledged hints. */
  record HintsAcknowledged() implements Reply {}

  /** A peer's response to a request that was forwarded to it. */
  record ForwardedResponse(UserResponse response) implements Reply {}

  /** A peer's responses to queries that were forwarded to it, in the order of the queries. */
  record ForwardedResponses(ImmutableList<UserResponse> responses) implements Reply {}
}
