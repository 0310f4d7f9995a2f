package eiderfork.controller.workers;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.model.Heartbeat;
import java.util.HashMap;
import java.util.Map;

/**
 * Chooses the node that a worker is redirected to which this node does not answer.
 *
 * <p>A worker that was served by the leader and comes here could not reach it. Redirected back at
 * once, it would wait there for a response until half of its lease is over. So its heartbeat is
 * deferred while a new leader may be elected, and a worker that returns from the leader again is
 * redirected without a node's name: the next node that it tries may be one that could lead.
 */
final class WorkerRedirector {
  /** The last redirect of a worker to the leader. */
  private record Redirect(long term, long sentMs) {}

  private final ControllerContext context;
  private final LeaderElection election;
  private final Map<String, Redirect> lastRedirects = new HashMap<>();

  WorkerRedirector(ControllerContext context, LeaderElection election) {
    this.context = context;
    this.election = election;
  }

  /** Whether a worker with tasks was served by the current leader and has left it. */
  boolean hasLostLeader(Heartbeat heartbeat) {
    return !election.isLeading()
        && election.leader() != null
        && !heartbeat.tasks().isEmpty()
        && heartbeat.fencingToken() >= election.firstFencingToken()
        && heartbeat.fencingToken() < election.endOfFencingTokens();
  }

  /** The node that a worker is redirected to, or null for the next one in its own order. */
  String target(Heartbeat heartbeat) {
    String leader = election.leader();
    if (leader == null || leader.equals(context.settings.nodeName())) {
      return null;
    }
    String machineName = heartbeat.machine().name();
    Redirect previous =
        lastRedirects.put(machineName, new Redirect(election.currentTerm(), context.nowMs()));
    boolean hasReturned =
        previous != null
            && previous.term == election.currentTerm()
            && context.nowMs() - previous.sentMs < context.workerLeaseMs();
    if (!hasReturned) {
      return leader;
    }
    // The next time it is redirected to the leader again.
    lastRedirects.remove(machineName);
    return null;
  }

  /** Forgets outdated redirects. */
  void tick() {
    lastRedirects
        .values()
        .removeIf(redirect -> context.nowMs() - redirect.sentMs > context.workerLeaseMs());
  }
}
