package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.StoredRecord;
import eiderfork.model.WorkerCommand;

/** What a controller wants done. */
public sealed interface Effect {
  /** A request whose reply comes back as {@link Input.Answered}; none in time is Unanswered. */
  sealed interface Call extends Effect {
    /** The number under which the reply comes back. */
    long callId();

    /** How long to wait for the reply. */
    long timeoutMs();
  }

  /** An answer to an input that carried this ticket. */
  sealed interface Response extends Effect {
    /** The ticket of the input that is answered. */
    long ticket();
  }

  /** Asks the state service. */
  record CallStore(long callId, StoreRequest request, long timeoutMs) implements Call {}

  /** Asks the cloud for its machine types. */
  record ListMachineTypes(long callId, long timeoutMs) implements Call {}

  /** Asks the cloud for machines. */
  record RentMachines(long callId, StoredRecord.ScaleOutIntent rent, long timeoutMs)
      implements Call {}

  /** Returns machines to the cloud. */
  record ReturnMachines(long callId, ImmutableList<String> machines, long timeoutMs)
      implements Call {}

  /** Asks the cloud for the machine list, beginning after {@code after}. */
  record ListHosts(long callId, String after, long timeoutMs) implements Call {}

  /** Sends commands to a worker directly. */
  record SendCommands(
      long callId,
      String address,
      long fencingToken,
      long incarnation,
      ImmutableList<WorkerCommand> commands,
      long timeoutMs)
      implements Call {}

  /** Asks a worker for its report. */
  record InspectWorker(long callId, String address, long timeoutMs) implements Call {}

  /** Tells a peer this node's view and asks for its own. */
  record PingPeer(long callId, String node, PeerStatus status, long timeoutMs) implements Call {}

  /** Passes a user's request on to a peer. */
  record ForwardRequest(long callId, String node, Input request, long timeoutMs) implements Call {}

  /** Questions after several jobs, answered in their order. */
  record ForwardQueries(long callId, String node, ImmutableList<String> uids, long timeoutMs)
      implements Call {}

  /** Tells a standby what is not committed. */
  record SendHints(long callId, String node, MachineHintBatch hints, long timeoutMs)
      implements Call {}

  /** A peer's hints were taken. */
  record AcknowledgeHints(long ticket) implements Response {}

  /** This node has taken the lead over; what that took is traced. */
  record FailoverCompleted(long term, ImmutableList<Phase> phases) implements Effect {}

  /** A part of a takeover, from one moment of the steady time to another. */
  record Phase(String name, long fromMs, long toMs) {}

  /** Answers queries that a peer passed on, in their order. */
  record RespondToQueries(long ticket, ImmutableList<UserResponse> responses) implements Response {}

  /** Answers a user or, for a request that was passed on, a peer. */
  record RespondToUser(long ticket, UserResponse response) implements Response {}

  /** Answers a health check. */
  record RespondToHealthCheck(long ticket, boolean healthy, String reason) implements Response {}

  /** Answers a worker's report, which renews its lease. */
  record RespondToWorker(long ticket, long fencingToken, ImmutableList<WorkerCommand> commands)
      implements Response {}

  /** 421: report elsewhere; {@code leader} is null where it is not known. */
  record RedirectWorker(long ticket, String leader) implements Response {}

  /** Answers a peer's ping. */
  record RespondToPing(long ticket, PeerStatus status) implements Response {}
}
