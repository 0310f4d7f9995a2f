package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.StoredRecord;
import eiderfork.model.WorkerCommand;

/**
 * An action that a controller requests from the node that it runs in. The node sends a {@link Call}
 * to another service, worker or peer and returns its {@link Reply} as an input; it sends a {@link
 * Response} to whoever sent an earlier input.
 */
public sealed interface Effect {
  /**
   * A request whose reply is returned as {@link Input.CallCompleted}; after a timeout the reply is
   * {@link Reply.Unanswered}.
   */
  sealed interface Call extends Effect {
    /** Returns the id of the call, which its reply carries. */
    long callId();

    /** Returns the time to wait for the reply. */
    long timeoutMs();
  }

  /** A response to an input that expects one. */
  sealed interface Response extends Effect {
    /** Returns the ticket of the input that this responds to. */
    long ticket();
  }

  /** Sends a request to the store. */
  record CallStore(long callId, StoreRequest request, long timeoutMs) implements Call {}

  /** Requests the machine types from the cloud. */
  record ListMachineTypes(long callId, long timeoutMs) implements Call {}

  /** Rents machines from the cloud, as a stored intent describes them. */
  record RentMachines(long callId, StoredRecord.ScaleOutIntent intent, long timeoutMs)
      implements Call {}

  /** Returns machines to the cloud. */
  record ReturnMachines(long callId, ImmutableList<String> machines, long timeoutMs)
      implements Call {}

  /** Requests a page of the cloud's machine list, with names that sort after {@code after}. */
  record ListMachines(long callId, String after, long timeoutMs) implements Call {}

  /** Sends commands to a worker without waiting for its next heartbeat. */
  record SendCommands(
      long callId,
      String address,
      long fencingToken,
      long incarnation,
      ImmutableList<WorkerCommand> commands,
      long timeoutMs)
      implements Call {}

  /** Requests a heartbeat from a worker. */
  record InspectWorker(long callId, String address, long timeoutMs) implements Call {}

  /** Sends a peer this node's status and requests its own. */
  record PingPeer(long callId, String node, PeerStatus status, long timeoutMs) implements Call {}

  /** Forwards a user's request to a peer. */
  record ForwardRequest(long callId, String node, Input request, long timeoutMs) implements Call {
    /** The size limit of a forwarded submission's kind, id and lengths, without its body. */
    private static final int MAX_ENVELOPE_BYTES = 64;

    /** The size limit of a forwarded submission's body; requests to peers are limited to 64 KiB. */
    public static final int MAX_BODY_BYTES = 64 * 1024 - MAX_ENVELOPE_BYTES;
  }

  /** Forwards queries for several jobs to a peer, which responds in the same order. */
  record ForwardQueries(long callId, String node, ImmutableList<String> uids, long timeoutMs)
      implements Call {}

  /** Sends a standby hints about uncommitted state. */
  record SendHints(long callId, String node, MachineHintBatch hints, long timeoutMs)
      implements Call {}

  /** Acknowledges a peer's hints. */
  record AcknowledgeHints(long ticket) implements Response {}

  /** Traces the phases of a failover that this node has completed. */
  record FailoverCompleted(long term, ImmutableList<FailoverPhase> phases) implements Effect {}

  /** A phase of a failover, from one time of the monotonic clock to another. */
  record FailoverPhase(String name, long fromMs, long toMs) {}

  /** Responds to queries that a peer forwarded, in the order of the queries. */
  record RespondToQueries(long ticket, ImmutableList<UserResponse> responses) implements Response {}

  /** Responds to a user or, if the request was forwarded, to a peer. */
  record RespondToUser(long ticket, UserResponse response) implements Response {}

  /** Responds to a health check. */
  record RespondToHealthCheck(long ticket, boolean healthy, String reason) implements Response {}

  /** Responds to a worker's heartbeat, which renews its lease. */
  record RespondToWorker(long ticket, long fencingToken, ImmutableList<WorkerCommand> commands)
      implements Response {}

  /** Redirects a worker to the leader (status 421); {@code leader} is null if unknown. */
  record RedirectWorker(long ticket, String leader) implements Response {}

  /** Responds to a peer's ping. */
  record RespondToPing(long ticket, PeerStatus status) implements Response {}
}
