package eiderfork.controller.standby;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs this node as a standby for the leader, and holds the replica and hints for a takeover. */
public final class Standby implements LeaderElection.YieldRule {
  private static final Logger LOG = LoggerFactory.getLogger(Standby.class);

  private static final long LOG_INTERVAL_MS = 60_000;

  private final ControllerContext context;
  private final LeaderElection election;
  private final StandbyReplica replica;
  private final MachineHintStore hints = new MachineHintStore();

  /** The last known leader, or null. */
  private String lastLeader;

  private long nextLogMs;

  /** Creates a standby, which is active only if the operator settings enable standbys. */
  public Standby(ControllerContext context, LeaderElection election, StandbyReplica replica) {
    this.context = context;
    this.election = election;
    this.replica = replica;
  }

  private boolean isEnabled() {
    return context.settings.operator().standbyCount() > 0;
  }

  /** Returns the nodes that are standbys for {@code leader}. */
  public ImmutableList<String> standbysOf(String leader) {
    return StandbyRanking.of(context.settings, leader);
  }

  /**
   * Returns whether this node lets the standbys of the last leader take a vacant leadership first.
   * Without standbys or a known last leader, the node order decides.
   */
  @Override
  public boolean yieldsToOthers(boolean byNodeOrder) {
    if (!isEnabled() || lastLeader == null) {
      return byNodeOrder;
    }
    return !isStandbyOf(lastLeader);
  }

  /** Returns the replica of the committed state. */
  public StandbyReplica replica() {
    return replica;
  }

  /** Returns the hints that the leader published. */
  public MachineHintStore hints() {
    return hints;
  }

  /**
   * Keeps the replica while this node leads or is a standby for the last leader, and drops it
   * otherwise.
   */
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
      replica.clear("this node is not a standby for " + lastLeader);
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

  /** Clears the replica and the hints, which were used up when this node became the leader. */
  public void onLeadershipLost() {
    replica.clear("this node lost the leadership");
    hints.clear();
  }
}
