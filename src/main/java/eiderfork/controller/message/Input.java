package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Heartbeat;
import eiderfork.model.Job;

/**
 * An event that a controller handles. The {@code ticket} of an input identifies the request that
 * the node has received, and is repeated in the {@link Effect.Response} to it.
 */
public sealed interface Input {
  /**
   * Returns the input's kind as logs and metrics name it. A record that is renamed keeps its old
   * name here and in {@code toString}, since dashboards and log searches match it.
   */
  default String loggedName() {
    return getClass().getSimpleName();
  }

  /** A periodic timer event. */
  record Tick() implements Input {}

  /** A user submits a job; {@code body} is the unparsed request, for forwarding to the leader. */
  record Submit(long ticket, Job job, byte[] body) implements Input {}

  /** A user queries a job's status. */
  record Query(long ticket, String uid) implements Input {}

  /** A user cancels a job. */
  record Cancel(long ticket, String uid) implements Input {
    @Override
    public String loggedName() {
      return "Abort";
    }

    @Override
    public String toString() {
      return loggedName() + "[ticket=" + ticket + ", uid=" + uid + "]";
    }
  }

  /** The load balancer checks whether this node can serve requests. */
  record HealthCheck(long ticket) implements Input {}

  /** A worker sends a heartbeat. */
  record WorkerHeartbeat(long ticket, Heartbeat heartbeat) implements Input {
    @Override
    public String loggedName() {
      return "WorkerReport";
    }

    @Override
    public String toString() {
      return loggedName() + "[ticket=" + ticket + ", report=" + heartbeat + "]";
    }
  }

  /** A peer forwards a submission, query or cancellation. */
  record PeerRequest(long ticket, Input request) implements Input {}

  /** A peer forwards queries for several jobs. */
  record PeerQueries(long ticket, ImmutableList<String> uids) implements Input {}

  /** A peer sends its status and requests this node's. */
  record PeerPing(long ticket, PeerStatus status) implements Input {}

  /** The leader sends hints about uncommitted state to this node, which may be its standby. */
  record PeerHints(long ticket, MachineHintBatch hints) implements Input {}

  /** An {@link Effect.Call} has completed, with a reply or a timeout. */
  record CallCompleted(long callId, Reply reply) implements Input {
    @Override
    public String loggedName() {
      return "Answered";
    }

    @Override
    public String toString() {
      return loggedName() + "[callId=" + callId + ", reply=" + reply + "]";
    }
  }
}
