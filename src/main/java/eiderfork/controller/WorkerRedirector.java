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
  private record Sent(long term, long atMs) {}

  private final ControllerContext context;
  private final LeaderElection term;
  private final Map<String, Sent> sent = new HashMap<>();

  WorkerRedirector(ControllerContext context, LeaderElection term) {
    this.context = context;
    this.term = term;
  }

  /** Whether a worker with tasks was with the leader of now and has left it. */
  boolean hasLostLeader(Heartbeat report) {
    return !term.leading()
        && term.leader() != null
        && !report.tasks().isEmpty()
        && report.token() >= term.firstToken()
        && report.token() < term.endOfTokens();
  }

  /** The node that a worker is sent to, or null for the next one that it knows. */
  String target(Heartbeat report) {
    String leader = term.leader();
    if (leader == null || leader.equals(context.settings.node())) {
      return null;
    }
    String machine = report.machine().name();
    Sent before = sent.put(machine, new Sent(term.number(), context.nowMs));
    boolean cameBack =
        before != null
            && before.term == term.number()
            && context.nowMs - before.atMs < context.leaseMs();
    if (!cameBack) {
      return leader;
    }
    // Told once, the next time it is sent to the leader again.
    sent.remove(machine);
    return null;
  }

  /** Forgets what is too long ago to matter. */
  void tick() {
    sent.values().removeIf(it -> context.nowMs - it.atMs > context.leaseMs());
  }
}
