package eiderfork.controller.election;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects the leader. The leader key in the store is attached to a short lease, and the transaction
 * that writes the key increments the term.
 *
 * <p>A follower watches the leader key and stands for election when it is missing ({@link
 * CandidacyPolicy}, {@link LeadershipClaim}). A leader renews its lease ({@link LeaderLease}).
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  /** A listener for changes of this node's leadership. */
  public interface Listener {
    /** Called when this node has become the leader of a new term. */
    void onElected();

    /** Called when this node has stopped leading; another node may lead from now on. */
    void onLeadershipLost();
  }

  /** Reports which peers are reachable, as a hint for which node should lead. */
  public interface PeerReachability {
    /** The reachability before any peer has sent its status. */
    PeerReachability UNKNOWN =
        new PeerReachability() {
          @Override
          public boolean isLost(String node) {
            return false;
          }

          @Override
          public boolean isAnyOtherReachable(String excludedNode) {
            return false;
          }
        };

    /** Returns whether the peer was reachable before and is not now. */
    boolean isLost(String node);

    /** Returns whether any peer other than {@code excludedNode} is reachable. */
    boolean isAnyOtherReachable(String excludedNode);
  }

  /** Decides whether this node lets other nodes take a vacant leadership first. */
  public interface YieldRule {
    /**
     * Returns whether other nodes are preferred as leaders.
     *
     * @param byNodeOrder whether the order and the reachability of the nodes prefer other nodes
     */
    boolean yieldsToOthers(boolean byNodeOrder);
  }

  private enum Role {
    /** Reads the leader key or watches it until it is deleted. */
    FOLLOWER,
    /** Tries to write the leader key. */
    CANDIDATE,
    LEADER
  }

  /**
   * The number of low bits of a fencing token that hold the per-worker sequence; the term is above.
   */
  public static final int TOKEN_SEQUENCE_BITS = 24;

  private static final long NEVER = -1;

  private final ControllerContext context;
  private final StoreClient store;
  private final Listener listener;
  private final long leaseMs;
  private final Backoff backoff;
  private final LeaderLease lease;
  private final CandidacyPolicy candidacy;

  private Role role = Role.FOLLOWER;
  private long leaderKeyVersion;
  private long term;
  private String leader;

  /** True if a request sent as follower or candidate is in flight. */
  private boolean requestPending;

  private long nextAttemptMs;
  private long leaderLossDetectedMs = NEVER;

  /** Creates a follower that notifies {@code listener} of changes of its leadership. */
  public LeaderElection(ControllerContext context, StoreClient store, Listener listener) {
    this.context = context;
    this.store = store;
    this.listener = listener;
    leaseMs = LeaderLease.durationMs(context);
    backoff = new Backoff(leaseMs / 20, leaseMs / 4);
    lease = new LeaderLease(context, store, leaseMs, backoff);
    candidacy = new CandidacyPolicy(context);
    nextAttemptMs = context.nowMs();
  }

  /** Sets the rule that decides whether other nodes may take a vacant leadership first. */
  public void setYieldRule(YieldRule rule) {
    candidacy.setYieldRule(rule);
  }

  /** Sets the source of information about which peers are reachable. */
  public void setPeerReachability(PeerReachability reachability) {
    candidacy.setReachability(reachability);
  }

  /** Returns whether this node leads as far as it knows; its lease may have expired meanwhile. */
  public boolean isLeading() {
    return role == Role.LEADER;
  }

  /** Returns whether the lease is certain to be valid, so that no other node can lead. */
  public boolean isLeaseValid() {
    return lease.isValid();
  }

  /** Returns the term in which this node leads or follows. */
  public long currentTerm() {
    return term;
  }

  /** Returns the smallest fencing token of this term. */
  public long firstFencingToken() {
    return term << TOKEN_SEQUENCE_BITS;
  }

  /** Returns the smallest fencing token of the next term. */
  public long firstFencingTokenOfNextTerm() {
    return (term + 1) << TOKEN_SEQUENCE_BITS;
  }

  /** Returns the known leader, or null. */
  public String leader() {
    return isLeading() ? context.settings.nodeName() : leader;
  }

  /**
   * Returns the condition that makes the store apply this leader's writes only during its own term.
   */
  public StoreRequest.Condition leaderCondition() {
    return new StoreRequest.Condition(StoreKeys.LEADER, leaderKeyVersion);
  }

  /** Returns the revision at which this node's leader key was written. */
  public long leaderKeyRevision() {
    return leaderKeyVersion;
  }

  /**
   * Returns the time at which a watch last reported a change of the leader key, or -1 if none did.
   */
  public long leaderLossDetectedMs() {
    return leaderLossDetectedMs;
  }

  /** Renews the lease as leader; as follower, checks whether the leadership is vacant. */
  public void tick() {
    if (isLeading()) {
      lease.renewIfDue(this::onLeaseLost);
    } else if (role == Role.FOLLOWER && !requestPending && context.nowMs() >= nextAttemptMs) {
      readLeaderKey();
    }
  }

  /** Steps down if the observed term is higher than the one in which this node leads. */
  public void observeTerm(long observedTerm) {
    if (isLeading() && observedTerm > term) {
      LOG.warn("leadership-lost reason=higher-term term={} seenTerm={}", term, observedTerm);
      stepDown();
    }
  }

  /** Records a peer's report that {@code node} leads in a term. */
  public void observeLeader(String node, long observedTerm) {
    if (observedTerm > term) {
      observeTerm(observedTerm);
      term = observedTerm;
      leader = node;
    }
  }

  /**
   * Steps down after a write failed its leader condition, as the leader key is no longer this
   * node's.
   */
  public void onLeaderConditionFailed() {
    if (isLeading()) {
      LOG.warn("leadership-lost reason=leader-key-changed term={}", term);
      stepDown();
    }
  }

  private void onLeaseLost() {
    LOG.warn("leadership-lost reason=lease-gone term={}", term);
    stepDown();
  }

  /** Gives up the leadership, and does not stand for election for {@code pauseMs}. */
  public void resign(long pauseMs) {
    if (!isLeading()) {
      return;
    }
    LOG.info("leadership-resigned term={} pauseMs={}", term, pauseMs);
    stepDown();
    candidacy.pause(pauseMs);
    lease.release();
  }

  private void stepDown() {
    role = Role.FOLLOWER;
    leader = null;
    lease.stopUsing();
    nextAttemptMs = context.nowMs();
    store.actAsFollower();
    listener.onLeadershipLost();
  }

  private void retryAfterBackoff() {
    requestPending = false;
    role = Role.FOLLOWER;
    nextAttemptMs = context.nowMs() + backoff.nextPauseMs(context.random);
  }

  private void readLeaderKey() {
    requestPending = true;
    store.send(
        new StoreRequest.Get(StoreKeys.LEADER),
        RequestPriority.LEASE,
        reply -> {
          if (reply instanceof Reply.Value value) {
            backoff.reset();
            handleLeaderKey(value);
          } else {
            retryAfterBackoff();
          }
        });
  }

  private void handleLeaderKey(Reply.Value value) {
    if (value.record() instanceof StoredRecord.Leadership leadership) {
      followLeader(leadership, value.version());
    } else if (candidacy.shouldYield()) {
      retryAfterBackoff();
    } else {
      startElection();
    }
  }

  private void followLeader(StoredRecord.Leadership leadership, long keyVersion) {
    if (!leadership.node().equals(leader) || leadership.term() != term) {
      LOG.info("following leader={} term={}", leadership.node(), leadership.term());
    }
    leader = leadership.node();
    candidacy.recordLeader(leader);
    term = Math.max(term, leadership.term());
    watchLeaderKey(keyVersion);
  }

  private void watchLeaderKey(long keyVersion) {
    store.send(
        new StoreRequest.Watch(StoreKeys.LEADER, keyVersion, leaseMs),
        RequestPriority.LEASE,
        reply -> {
          requestPending = false;
          nextAttemptMs = context.nowMs();
          if (!(reply instanceof Reply.Changes changes)) {
            retryAfterBackoff();
          } else if (!changes.items().isEmpty()) {
            leader = null;
            leaderLossDetectedMs = context.nowMs();
          }
        });
  }

  private void startElection() {
    role = Role.CANDIDATE;
    leader = null;
    new LeadershipClaim(context, store, leaseMs, this::becomeLeader, this::retryAfterBackoff)
        .start();
  }

  private void becomeLeader(LeadershipClaim.Leadership acquired) {
    requestPending = false;
    role = Role.LEADER;
    term = acquired.term();
    leaderKeyVersion = acquired.leaderKeyVersion();
    lease.startUsing(acquired.leaseId(), acquired.leaseRequestedMs());
    store.actAsLeader();
    LOG.info("leadership-acquired term={} firstFencingToken={}", term, firstFencingToken());
    listener.onElected();
  }
}
