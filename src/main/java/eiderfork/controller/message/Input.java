package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Heartbeat;
import eiderfork.model.Job;

/** What happens to a controller. */
public sealed interface Input {
  /** Time has passed. */
  record Tick() implements Input {}

  /** A submission; {@code body} is what the user sent, for passing on. */
  record Submit(long ticket, Job job, byte[] body) implements Input {}

  /** A user asks for a job's state. */
  record Query(long ticket, String uid) implements Input {}

  /** A user cancels a job. */
  record Abort(long ticket, String uid) implements Input {}

  /** The load balancer asks whether this node can take requests. */
  record HealthCheck(long ticket) implements Input {}

  /** A worker reports. */
  record WorkerReport(long ticket, Heartbeat report) implements Input {}

  /** A submission, query or cancellation passed on by a peer. */
  record PeerRequest(long ticket, Input request) implements Input {}

  /** Questions after several jobs, passed on by a peer. */
  record PeerQueries(long ticket, ImmutableList<String> uids) implements Input {}

  /** A peer tells its view and asks for this node's. */
  record PeerPing(long ticket, PeerStatus status) implements Input {}

  /** The leader tells this node, which may stand by for it, what is not committed. */
  record PeerHints(long ticket, MachineHintBatch hints) implements Input {}

  /** The reply to a call that an effect asked for. */
  record Answered(long callId, Reply reply) implements Input {}
}
