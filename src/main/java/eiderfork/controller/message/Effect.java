package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.StoredRecord;
import eiderfork.model.WorkerCommand;

/** What a controller has done by the node that it runs in. */
public sealed interface Effect {
  /**
   * A request whose reply comes back as {@link Input.CallCompleted}; none in time is Unanswered.
   */
  sealed interface Call extends Effect {
    /** The id with which the reply comes back. */
    long callId();

    /** How long to wait for the reply. */
    long timeoutMs();
  }

  /** A response to an input that carried this ticket. */
  sealed interface Response extends Effect {
    /** The ticket of the input that is responded to. */
    long ticket();
  }

  /** Sends a request to the store. */
  record CallStore(long callId, StoreRequest request, long timeoutMs) implements Call {}

  /** Requests the machine types from the cloud. */
  record ListMachineTypes(long callId, long timeoutMs) implements Call {}

  /** Rents machines from the cloud. */
  record RentMachines(long callId, StoredRecord.ScaleOutIntent intent, long timeoutMs)
      implements Call {}

  /** Returns machines to the cloud. */
  record ReturnMachines(long callId, ImmutableList<String> machines, long timeoutMs)
      implements Call {}

  /** Requests a page of the cloud's list of machines, beginning after {@code after}. */
  record ListMachines(long callId, String after, long timeoutMs) implements Call {}

  /** Sends commands to a worker directly. */
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
    /** Bytes that a forwarded submission's kind, id and lengths may take beside its body. */
    private static final int MAX_ENVELOPE_BYTES = 64;

    /** The longest body of a submission that fits a request to a peer, which is 64 KiB at most. */
    public static final int MAX_BODY_BYTES = 64 * 1024 - MAX_ENVELOPE_BYTES;
  }

  /** Forwards queries of several jobs, whose responses come in the same order. */
  record ForwardQueries(long callId, String node, ImmutableList<String> uids, long timeoutMs)
      implements Call {}

  /** Sends a standby hints of what is not committed. */
  record SendHints(long callId, String node, MachineHintBatch hints, long timeoutMs)
      implements Call {}

  /** Acknowledges a peer's hints. */
  record AcknowledgeHints(long ticket) implements Response {}

  /** This node has completed a failover, whose phases are traced. */
  record FailoverCompleted(long term, ImmutableList<FailoverPhase> phases) implements Effect {}

  /** A phase of a failover, from one moment of the steady time to another. */
  record FailoverPhase(String name, long fromMs, long toMs) {}

  /** Responds to queries that a peer forwarded, in their order. */
  record RespondToQueries(long ticket, ImmutableList<UserResponse> responses) implements Response {}

  /** Responds to a user or, for a request that was forwarded, to a peer. */
  record RespondToUser(long ticket, UserResponse response) implements Response {}

  /** Responds to a health check. */
  record RespondToHealthCheck(long ticket, boolean healthy, String reason) implements Response {}

  /** Responds to a worker's heartbeat, which renews its lease. */
  record RespondToWorker(long ticket, long fencingToken, ImmutableList<WorkerCommand> commands)
      implements Response {}

  /** Redirects a worker to the leader (421), which is null where it is not known. */
  record RedirectWorker(long ticket, String leader) implements Response {}

  /** Responds to a peer's ping. */
  record RespondToPing(long ticket, PeerStatus status) implements Response {}
}
