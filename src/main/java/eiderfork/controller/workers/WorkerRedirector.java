package eiderfork.controller.workers;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.model.Heartbeat;
import java.util.HashMap;
import java.util.Map;

/**
 * Chooses the node to which a worker is redirected when this node does not answer it.
 *
 * <p>A worker that was served by the leader and then contacts this node could not reach the leader.
 * If it were redirected back at once, it would wait for the leader's response until half of its
 * lease is over. Its heartbeat is therefore deferred while a new leader may be elected. A worker
 * that comes back from the leader once more is redirected without a node's name, because the next
 * node that it tries may be able to lead.
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

  /** Returns whether a worker with tasks was served by the current leader and has left it. */
  boolean hasLostLeader(Heartbeat heartbeat) {
    return !election.isLeading()
        && election.leader() != null
        && !heartbeat.tasks().isEmpty()
        && heartbeat.fencingToken() >= election.firstFencingToken()
        && heartbeat.fencingToken() < election.firstFencingTokenOfNextTerm();
  }

  /**
   * Returns the node to which the worker is redirected, or null if it should try the next node in
   * its own order.
   */
  String redirectTarget(Heartbeat heartbeat) {
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
    // Without this entry, the worker's next redirect names the leader again.
    lastRedirects.remove(machineName);
    return null;
  }

  /** Removes outdated redirects. */
  void tick() {
    lastRedirects
        .values()
        .removeIf(redirect -> context.nowMs() - redirect.sentMs > context.workerLeaseMs());
  }
}
