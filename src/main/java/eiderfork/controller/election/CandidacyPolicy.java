package eiderfork.controller.election;

import eiderfork.controller.context.ControllerContext;

/**
 * Decides whether this node delays its candidacy so that another node can take a vacant leadership
 * first. It only influences which node is likely to lead; safety depends on the leader key alone.
 */
final class CandidacyPolicy {
  /**
   * The maximum time, in steps, for which a node waits for preferred nodes to be elected. It is far
   * longer than an election takes, even with a slow store, and shorter than the time that workers'
   * leases leave for a failover.
   */
  private static final double MAX_YIELD_STEPS = 1;

  private static final long NOT_MISSING = -1;

  private final ControllerContext context;

  /** True if the node order prefers other nodes as leaders. */
  private final boolean yieldsByNodeOrder;

  /** The node that workers try after this one. */
  private final String nextNode;

  private LeaderElection.PeerReachability reachability = LeaderElection.PeerReachability.UNKNOWN;
  private LeaderElection.YieldRule yieldRule = byNodeOrder -> byNodeOrder;

  /** The last known leader, or null. */
  private String lastLeader;

  /** The time at which the leader key was first found missing, or {@link #NOT_MISSING}. */
  private long keyMissingSinceMs = NOT_MISSING;

  private long pausedUntilMs;

  /** Creates the policy of a node that has not seen a leader yet. */
  CandidacyPolicy(ControllerContext context) {
    this.context = context;
    CandidateOrder order = CandidateOrder.of(context.settings);
    yieldsByNodeOrder = !order.isNextNodeInOtherZone();
    nextNode = order.nextNode();
  }

  /** Sets the source of information about which peers are reachable. */
  void setReachability(LeaderElection.PeerReachability peerReachability) {
    reachability = peerReachability;
  }

  /** Sets the rule that decides whether to yield, in place of the node order alone. */
  void setYieldRule(LeaderElection.YieldRule rule) {
    yieldRule = rule;
  }

  /** Records that the leader key names {@code node}. */
  void recordLeader(String node) {
    keyMissingSinceMs = NOT_MISSING;
    lastLeader = node;
  }

  /** Keeps this node from standing for election for {@code pauseMs} after it has resigned. */
  void pause(long pauseMs) {
    pausedUntilMs = context.nowMs() + pauseMs;
  }

  /**
   * Returns whether this node should not stand for election now, although the leader key is
   * missing.
   */
  boolean shouldYield() {
    if (context.nowMs() < pausedUntilMs) {
      return true;
    }
    if (keyMissingSinceMs < 0) {
      keyMissingSinceMs = context.nowMs();
    }
    return yieldRule.yieldsToOthers(yieldsByNodeOrder || isNextNodeUnavailable())
        && context.nowMs() - keyMissingSinceMs < MAX_YIELD_STEPS * context.stepMs();
  }

  /**
   * Returns whether the node that workers try after this one is unreachable or was the last leader,
   * while another peer is reachable. If this node led and failed then, workers would wait in vain
   * for responses from both nodes, which takes half of their lease.
   */
  private boolean isNextNodeUnavailable() {
    boolean unavailable = nextNode.equals(lastLeader) || reachability.isLost(nextNode);
    return unavailable && reachability.isAnyOtherReachable(nextNode);
  }
}
