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
 * Who leads. The leader key in the store is attached to a short lease; the transaction that writes
 * it counts the term up.
 *
 * <p>A follower watches the leader key and stands for election once it is missing ({@link
 * CandidacyPolicy}, {@link LeadershipClaim}); a leader renews its lease ({@link LeaderLease}).
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  /** What happens on a change of leadership. */
  public interface Listener {
    /** This node leads now, in a term of its own. */
    void onElected();

    /** This node led and surely does so no more; somebody else may. */
    void onLeadershipLost();
  }

  /** Which peers can be reached, for guesses at who should lead. */
  public interface PeerReachability {
    /** What is known before any peer has sent its status. */
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

    /** Whether this peer was reachable and is not any more. */
    boolean isLost(String node);

    /** Whether any peer but this one is reachable. */
    boolean isAnyOtherReachable(String excludedNode);
  }

  /** Decides whether a vacant leadership is left to other nodes for a while. */
  public interface YieldRule {
    /**
     * Whether other nodes are preferred as leaders.
     *
     * @param byNodeOrder what follows from the order and the reachability of the nodes
     */
    boolean yieldsToOthers(boolean byNodeOrder);
  }

  private enum Role {
    /** Reads the leader key or waits for it to go. */
    FOLLOWER,
    /** Takes the leader key. */
    CANDIDATE,
    LEADER
  }

  /** The term stands in the bits above these of a token, the per-worker sequence below. */
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

  /** Whether a request of a follower or candidate is under way. */
  private boolean requestPending;

  private long nextAttemptMs;
  private long leaderLossDetectedMs = NEVER;

  /** Makes a follower; {@code listener} is notified of changes of leadership. */
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

  /** Has this rule decide whether a vacant leadership is left to others for a while. */
  public void setYieldRule(YieldRule rule) {
    candidacy.setYieldRule(rule);
  }

  /** Has this decide which peers can be reached. */
  public void setPeerReachability(PeerReachability reachability) {
    candidacy.setReachability(reachability);
  }

  /** Whether this node leads, as far as it knows. */
  public boolean isLeading() {
    return role == Role.LEADER;
  }

  /** Whether the lease surely holds, so that nobody else can lead. */
  public boolean isLeaseValid() {
    return lease.isValid();
  }

  /** The term that this node leads in or follows. */
  public long currentTerm() {
    return term;
  }

  /** The smallest fencing token of this term. */
  public long firstFencingToken() {
    return term << TOKEN_SEQUENCE_BITS;
  }

  /** The smallest fencing token of the next term. */
  public long firstFencingTokenOfNextTerm() {
    return (term + 1) << TOKEN_SEQUENCE_BITS;
  }

  /** The node that leads as far as known, or null. */
  public String leader() {
    return isLeading() ? context.settings.nodeName() : leader;
  }

  /** The condition under which a leader's write is carried out in its own term alone. */
  public StoreRequest.Condition leaderCondition() {
    return new StoreRequest.Condition(StoreKeys.LEADER, leaderKeyVersion);
  }

  /** The revision as which this leader's key was written. */
  public long leaderKeyRevision() {
    return leaderKeyVersion;
  }

  /** When the leadership that this node holds was first seen to be vacant; -1 where it was not. */
  public long leaderLossDetectedMs() {
    return leaderLossDetectedMs;
  }

  /** Renews the lease, or looks for a leadership that is vacant. */
  public void tick() {
    if (isLeading()) {
      lease.renewIfDue(this::onLeaseGone);
    } else if (role == Role.FOLLOWER && !requestPending && context.nowMs() >= nextAttemptMs) {
      readLeaderKey();
    }
  }

  /** A higher term was seen somewhere: this node's is over. */
  public void observeTerm(long observedTerm) {
    if (isLeading() && observedTerm > term) {
      LOG.warn("leadership-lost reason=higher-term term={} seenTerm={}", term, observedTerm);
      stepDown();
    }
  }

  /** A peer reports that this node leads. */
  public void observeLeader(String node, long observedTerm) {
    if (observedTerm > term) {
      observeTerm(observedTerm);
      term = observedTerm;
      leader = node;
    }
  }

  /** The leader key's conditions failed: another node's key stands there. */
  public void onLeaderConditionFailed() {
    if (isLeading()) {
      LOG.warn("leadership-lost reason=leader-key-changed term={}", term);
      stepDown();
    }
  }

  private void onLeaseGone() {
    LOG.warn("leadership-lost reason=lease-gone term={}", term);
    stepDown();
  }

  /** Gives the leadership up, and leaves it to others for a while. */
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
    lease.giveUp();
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
    } else if (candidacy.isLeftToOthers()) {
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
    new LeadershipClaim(context, store, leaseMs, this::lead, this::retryAfterBackoff).start();
  }

  private void lead(LeadershipClaim.Leadership won) {
    requestPending = false;
    role = Role.LEADER;
    term = won.term();
    leaderKeyVersion = won.leaderKeyVersion();
    lease.hold(won.leaseId(), won.leaseRequestedMs());
    store.actAsLeader();
    LOG.info("leadership-acquired term={} firstFencingToken={}", term, firstFencingToken());
    listener.onElected();
  }
}
