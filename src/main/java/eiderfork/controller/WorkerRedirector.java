package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.model.Heartbeat;
import java.util.HashMap;
import java.util.Map;

/**
 * Where workers are sent that this node does not answer.
 *
 * <p>A worker that was with the leader and comes here has found that it can't reach it. Sent back
 * at once it waits there in vain until half of its lease is over; it is rather kept here while a
 * new leader may come, and where it comes back from the leader a second time it is sent on without
 * a name: the next node that it tries may be one that could lead.
 */
final class WorkerRedirector {
  /** What a worker was told last. */
  private record Redirect(long term, long sentMs) {}

  private final ControllerContext context;
  private final LeaderElection election;
  private final Map<String, Redirect> lastRedirects = new HashMap<>();

  WorkerRedirector(ControllerContext context, LeaderElection election) {
    this.context = context;
    this.election = election;
  }

  /** Whether a worker with tasks was with the leader of now and has left it. */
  boolean hasLostLeader(Heartbeat heartbeat) {
    return !election.isLeading()
        && election.leader() != null
        && !heartbeat.tasks().isEmpty()
        && heartbeat.fencingToken() >= election.firstFencingToken()
        && heartbeat.fencingToken() < election.endOfFencingTokens();
  }

  /** The node that a worker is sent to, or null for the next one that it knows. */
  String target(Heartbeat heartbeat) {
    String leader = election.leader();
    if (leader == null || leader.equals(context.settings.nodeName())) {
      return null;
    }
    String machine = heartbeat.machine().name();
    Redirect previous =
        lastRedirects.put(machine, new Redirect(election.currentTerm(), context.nowMs));
    boolean cameBack =
        previous != null
            && previous.term == election.currentTerm()
            && context.nowMs - previous.sentMs < context.workerLeaseMs();
    if (!cameBack) {
      return leader;
    }
    // Told once, the next time it is sent to the leader again.
    lastRedirects.remove(machine);
    return null;
  }

  /** Forgets what is too long ago to matter. */
  void tick() {
    lastRedirects.values().removeIf(it -> context.nowMs - it.sentMs > context.workerLeaseMs());
  }
}
