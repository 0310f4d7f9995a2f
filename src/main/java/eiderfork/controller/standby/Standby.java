package eiderfork.controller.standby;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Whether this node stands by for the leader, and what it keeps for that. */
public final class Standby {
  private static final Logger LOG = LoggerFactory.getLogger(Standby.class);

  private static final long TELL_MS = 60_000;

  private final ControllerContext context;
  private final LeaderElection term;
  private final StandbyReplica copy;
  private final MachineHintStore hints = new MachineHintStore();

  /** The node that led last, as far as known; null before the first. */
  private String lastLeader;

  private long tellNextMs;

  /** Makes a node that stands by where the operators' settings want it. */
  public Standby(ControllerContext context, LeaderElection term, StandbyReplica copy) {
    this.context = context;
    this.term = term;
    this.copy = copy;
    term.yieldWhere(this::leavesLeadToOthers);
  }

  private boolean isWanted() {
    return context.settings.operator().standbys() > 0;
  }

  /** The nodes that stand by for this leader. */
  public ImmutableList<String> of(String leader) {
    return StandbyRanking.of(context.settings, leader);
  }

  /** Whether a vacant lead is another's before it is this node's. */
  private boolean leavesLeadToOthers(boolean otherwise) {
    if (!isWanted() || lastLeader == null) {
      return otherwise;
    }
    return !of(lastLeader).contains(context.settings.node());
  }

  /** The copy of what is committed. */
  public StandbyReplica copy() {
    return copy;
  }

  /** What the leader has told. */
  public MachineHintStore hints() {
    return hints;
  }

  /** Follows the leader where this node stands by for it. */
  public void tick() {
    if (!isWanted()) {
      return;
    }
    if (term.leader() != null) {
      lastLeader = term.leader();
    }
    copy.tick();
    if (term.leading()) {
      return;
    }
    boolean standsBy = lastLeader != null && of(lastLeader).contains(context.settings.node());
    if (standsBy) {
      copy.beginIfDue();
      tell();
    } else if (copy.isFollowing()) {
      copy.clear("another node stands by for " + lastLeader);
      hints.clear();
    }
  }

  private void tell() {
    if (context.nowMs >= tellNextMs) {
      tellNextMs = context.nowMs + TELL_MS;
      LOG.info(
          "standing by for {}: {}, hints of {} machines",
          lastLeader,
          copy.describe(),
          hints.size());
    }
  }

  /** This node's lead is over; what it held as a standby went with its beginning. */
  public void deposed() {
    copy.clear("a lead is over");
    hints.clear();
  }
}
