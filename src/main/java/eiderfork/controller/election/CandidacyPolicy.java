package eiderfork.controller.election;

import eiderfork.controller.context.ControllerContext;

/**
 * Whether this node leaves a vacant leadership to others for a while. It decides who is likely to
 * lead, and nothing else: safety rests on the leader key alone.
 */
final class CandidacyPolicy {
  /**
   * How long a node waits for the nodes that are preferred to it, in steps: far more than a slow
   * store takes over an election, and less than workers' leases leave.
   */
  private static final double YIELD_STEPS = 1;

  private static final long NOT_MISSING = -1;

  private final ControllerContext context;

  /** Whether the order of nodes prefers others as leaders. */
  private final boolean yieldsByNodeOrder;

  /** The node that workers try after this one. */
  private final String nextNode;

  private LeaderElection.PeerReachability reachability = LeaderElection.PeerReachability.UNKNOWN;
  private LeaderElection.YieldRule yieldRule = byNodeOrder -> byNodeOrder;

  /** The node that led last, as far as known. */
  private String lastLeader;

  /** Since when the leader key has been seen to be missing. */
  private long keyMissingSinceMs = NOT_MISSING;

  private long pausedUntilMs;

  /** Makes the policy of a node that has seen no leader. */
  CandidacyPolicy(ControllerContext context) {
    this.context = context;
    CandidateOrder order = CandidateOrder.of(context.settings);
    yieldsByNodeOrder = !order.isNextNodeInOtherZone();
    nextNode = order.nextNode();
  }

  /** Has this decide which peers can be reached. */
  void setReachability(LeaderElection.PeerReachability peerReachability) {
    reachability = peerReachability;
  }

  /** Has this rule decide in place of the order of nodes alone. */
  void setYieldRule(LeaderElection.YieldRule rule) {
    yieldRule = rule;
  }

  /** The leader key names this node. */
  void recordLeader(String node) {
    keyMissingSinceMs = NOT_MISSING;
    lastLeader = node;
  }

  /** This node gave the leadership up and stands for no election for a while. */
  void pause(long pauseMs) {
    pausedUntilMs = context.nowMs() + pauseMs;
  }

  /** Whether this node does not stand for election now, although the leader key is missing. */
  boolean isLeftToOthers() {
    if (context.nowMs() < pausedUntilMs) {
      return true;
    }
    if (keyMissingSinceMs < 0) {
      keyMissingSinceMs = context.nowMs();
    }
    return yieldRule.yieldsToOthers(yieldsByNodeOrder || isNextNodeUnreachable())
        && context.nowMs() - keyMissingSinceMs < YIELD_STEPS * context.stepMs();
  }

  /**
   * Whether the node that workers try after this one is out of reach, or led until now. Workers
   * that lose this node as a leader would wait for a reply of both in vain, which takes half of
   * their lease.
   */
  private boolean isNextNodeUnreachable() {
    boolean isOut = nextNode.equals(lastLeader) || reachability.isLost(nextNode);
    return isOut && reachability.isAnyOtherReachable(nextNode);
  }
}
