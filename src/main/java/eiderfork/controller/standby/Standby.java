package eiderfork.controller.standby;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Whether this node stands by for the leader, and what it keeps for that. */
public final class Standby implements LeaderElection.YieldRule {
  private static final Logger LOG = LoggerFactory.getLogger(Standby.class);

  private static final long LOG_INTERVAL_MS = 60_000;

  private final ControllerContext context;
  private final LeaderElection election;
  private final StandbyReplica replica;
  private final MachineHintStore hints = new MachineHintStore();

  /** The node that led last, as far as known; null before the first. */
  private String lastLeader;

  private long nextLogMs;

  /** Makes a node that stands by where the operators' settings want it. */
  public Standby(ControllerContext context, LeaderElection election, StandbyReplica replica) {
    this.context = context;
    this.election = election;
    this.replica = replica;
  }

  private boolean isEnabled() {
    return context.settings.operator().standbyCount() > 0;
  }

  /** The nodes that stand by for this leader. */
  public ImmutableList<String> standbysOf(String leader) {
    return StandbyRanking.of(context.settings, leader);
  }

  /** A vacant leadership is a standby's before it is another node's. */
  @Override
  public boolean yieldsToOthers(boolean byNodeOrder) {
    if (!isEnabled() || lastLeader == null) {
      return byNodeOrder;
    }
    return !isStandbyOf(lastLeader);
  }

  /** The replica of what is committed. */
  public StandbyReplica replica() {
    return replica;
  }

  /** The hints that the leader published. */
  public MachineHintStore hints() {
    return hints;
  }

  /** Follows the leader where this node stands by for it. */
  public void tick() {
    if (!isEnabled()) {
      return;
    }
    if (election.leader() != null) {
      lastLeader = election.leader();
    }
    replica.tick();
    if (election.isLeading()) {
      return;
    }
    if (lastLeader != null && isStandbyOf(lastLeader)) {
      replica.startIfDue();
      logState();
    } else if (replica.isFollowing()) {
      replica.clear("another node stands by for " + lastLeader);
      hints.clear();
    }
  }

  private boolean isStandbyOf(String leader) {
    return standbysOf(leader).contains(context.settings.nodeName());
  }

  private void logState() {
    if (context.nowMs() >= nextLogMs) {
      nextLogMs = context.nowMs() + LOG_INTERVAL_MS;
      LOG.info(
          "standing-by leader={} hintedMachines={} {}",
          lastLeader,
          hints.size(),
          replica.describe());
    }
  }

  /** This node's leadership is over; what it held as a standby was used up when it began. */
  public void onLeadershipLost() {
    replica.clear("this node's leadership is over");
    hints.clear();
  }
}
