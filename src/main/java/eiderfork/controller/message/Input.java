package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Heartbeat;
import eiderfork.model.Job;

/** What a controller has to handle. */
public sealed interface Input {
  /**
   * Returns the input's kind as logs and metrics name it. A record that is renamed keeps its old
   * name here and in {@code toString}, since dashboards and log searches match it.
   */
  default String loggedName() {
    return getClass().getSimpleName();
  }

  /** Time has passed. */
  record Tick() implements Input {}

  /** A submission; {@code body} is what the user sent, for forwarding. */
  record Submit(long ticket, Job job, byte[] body) implements Input {}

  /** A user requests a job's state. */
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

  /** The load balancer checks whether this node can take requests. */
  record HealthCheck(long ticket) implements Input {}

  /** A heartbeat of a worker. */
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

  /** A submission, query or cancellation forwarded by a peer. */
  record PeerRequest(long ticket, Input request) implements Input {}

  /** Queries of several jobs, forwarded by a peer. */
  record PeerQueries(long ticket, ImmutableList<String> uids) implements Input {}

  /** A peer sends its status and requests this node's. */
  record PeerPing(long ticket, PeerStatus status) implements Input {}

  /** The leader sends this node, which may be its standby, hints of what is not committed. */
  record PeerHints(long ticket, MachineHintBatch hints) implements Input {}

  /** The reply to a call, see {@link Effect.Call}. */
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
