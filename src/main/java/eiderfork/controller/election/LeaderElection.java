package eiderfork.controller.election;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads. The leader key hangs on a short lease in the state service; the transaction that takes
 * it counts up the term.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  /** What the owner of the term does on a change of it. */
  public interface Listener {
    /** This node leads now, in a term of its own. */
    void onElected();

    /** This node led and surely does so no more; somebody else may. */
    void onLeadershipLost();
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

  /** A lease is renewed this many times in its life, so that two lost renewals are survived. */
  private static final int RENEWALS_PER_LEASE = 3;

  /**
   * The share of the workers' lease that the leader's takes is of no more than this many steps.
   * Users wait for a new leader as well as workers, and not longer where workers' leases are long.
   */
  private static final int MAX_LEASE_STEPS = 10;

  /**
   * How long a node that others should rather lead waits for one of them, in steps. It is far more
   * than a slow state service takes over an election, and less than workers' leases leave.
   */
  private static final double YIELD_STEPS = 1;

  /** How much of its lease a leader leaves unused, for slow clocks and late replies. */
  private static final double LEASE_MARGIN = 0.1;

  private final ControllerContext context;
  private final StoreClient store;
  private final Listener listener;
  private final long leaseMs;
  private final Backoff backoff;

  private Role role = Role.FOLLOWER;
  private long leaseId;
  private long leaseValidUntilMs;
  private long leaderKeyVersion;
  private long term;
  private String leader;
  private boolean requestPending;
  private boolean renewalPending;
  private long nextAttemptMs;
  private long candidacyPausedUntilMs;

  /** Whether other nodes should rather lead, see {@link CandidateOrder}. */
  private final boolean yieldsByNodeOrder;

  /** The node that workers try after this one. */
  private final String nextNode;

  /** The node that led last, as far as known. */
  private String lastLeader;

  /** Whether a node was heard and is not any more. */
  private Predicate<String> isPeerLost = node -> false;

  /** Whether any node but this one and the one named is heard. */
  private Predicate<String> isOtherPeerReachable = node -> false;

  /** Decides on that anew, given what the order of nodes says. */
  private UnaryOperator<Boolean> yieldRule = byOrder -> byOrder;

  /** Since when the leader key has been seen to be missing; -1 while it stands. */
  private long keyMissingSinceMs = -1;

  private long vacancySeenMs = -1;

  /** Makes a term that this node follows in; {@code listener} is told of changes. */
  public LeaderElection(ControllerContext context, StoreClient store, Listener listener) {
    this.context = context;
    this.store = store;
    this.listener = listener;
    long mostMs = Math.min(context.workerLeaseMs(), MAX_LEASE_STEPS * context.stepMs());
    leaseMs = (long) (mostMs * context.settings.operator().leaderLeaseShare());
    backoff = new Backoff(leaseMs / 20, leaseMs / 4);
    nextAttemptMs = context.nowMs;
    CandidateOrder order = CandidateOrder.of(context.settings);
    yieldsByNodeOrder = !order.isNextNodeInOtherZone();
    nextNode = order.nextNode();
  }

  /** Whether this node leads, as far as it knows. */
  public boolean isLeading() {
    return role == Role.LEADER;
  }

  /** Whether the lease surely holds, so that nobody else can lead. */
  public boolean isLeaseValid() {
    return isLeading() && context.nowMs < leaseValidUntilMs;
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
  public long endOfFencingTokens() {
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

  /** Renews the lease, or looks for a lead that is vacant. */
  public void tick() {
    if (isLeading()) {
      if (!renewalPending && context.nowMs >= nextAttemptMs) {
        renewLease();
      }
    } else if (!requestPending && context.nowMs >= nextAttemptMs) {
      if (role == Role.FOLLOWER) {
        readLeaderKey();
      }
    }
  }

  /** Has this rule decide whether a vacant lead is left to others for a while. */
  public void setYieldRule(UnaryOperator<Boolean> rule) {
    yieldRule = rule;
  }

  /**
   * Has these tell which nodes are heard.
   *
   * @param lost whether a node was heard and is not any more
   * @param others whether any node but this one and the one named is heard
   */
  public void setPeerReachability(Predicate<String> lost, Predicate<String> others) {
    isPeerLost = lost;
    isOtherPeerReachable = others;
  }

  /** The revision as which this leader's key was written. */
  public long leaderRevision() {
    return leaderKeyVersion;
  }

  /** When the lead that this node holds was first seen to be vacant; -1 where it was not. */
  public long vacancySeenMs() {
    return vacancySeenMs;
  }

  /** A higher term was seen somewhere: this node's is over. */
  public void observeTerm(long observedTerm) {
    if (isLeading() && observedTerm > term) {
      LOG.info("term {} is over: term {} was seen", term, observedTerm);
      stepDown();
    }
  }

  /** Gives the lead up, and leaves it to others for a while. */
  public void resign(long pauseMs) {
    if (!isLeading()) {
      return;
    }
    LOG.info("resigning term {}", term);
    long old = leaseId;
    stepDown();
    candidacyPausedUntilMs = context.nowMs + pauseMs;
    store.send(new StoreRequest.Release(old), RequestPriority.LEASE, reply -> {});
  }

  /** A peer says that it leads. */
  public void observeLeader(String node, long observedTerm) {
    if (observedTerm > term) {
      observeTerm(observedTerm);
      term = observedTerm;
      leader = node;
    }
  }

  private void renewLease() {
    renewalPending = true;
    long sentMs = context.nowMs;
    nextAttemptMs = sentMs + leaseMs / RENEWALS_PER_LEASE;
    long renewed = leaseId;
    store.send(
        new StoreRequest.Renew(renewed),
        RequestPriority.LEASE,
        reply -> {
          renewalPending = false;
          if (!isLeading() || leaseId != renewed) {
            return;
          }
          if (reply instanceof Reply.Leased) {
            backoff.reset();
            leaseValidUntilMs = sentMs + usableLeaseMs();
          } else if (reply instanceof Reply.Refused refused && refused.status() == 404) {
            LOG.info("term {}: the lease is gone", term);
            stepDown();
          } else {
            nextAttemptMs = context.nowMs + backoff.nextPauseMs(context.random);
          }
        });
  }

  private long usableLeaseMs() {
    return (long) (leaseMs * (1 - LEASE_MARGIN));
  }

  /** The leader key's conditions failed: somebody else's key stands there. */
  public void leaderConditionFailed() {
    if (isLeading()) {
      LOG.info("term {}: the leader key is not ours any more", term);
      stepDown();
    }
  }

  private void stepDown() {
    role = Role.FOLLOWER;
    leader = null;
    leaseValidUntilMs = 0;
    nextAttemptMs = context.nowMs;
    store.actAsFollower();
    listener.onLeadershipLost();
  }

  private void retryAfterBackoff() {
    requestPending = false;
    role = Role.FOLLOWER;
    nextAttemptMs = context.nowMs + backoff.nextPauseMs(context.random);
  }

  private void readLeaderKey() {
    requestPending = true;
    store.send(
        new StoreRequest.Get(StoreKeys.LEADER),
        RequestPriority.LEASE,
        reply -> {
          if (!(reply instanceof Reply.Value value)) {
            retryAfterBackoff();
            return;
          }
          backoff.reset();
          if (value.record() instanceof StoredRecord.Leadership it) {
            followLeader(it, value.version());
          } else if (context.nowMs < candidacyPausedUntilMs || shouldYield()) {
            retryAfterBackoff();
          } else {
            startElection();
          }
        });
  }

  /** Whether this node still waits for one of those that should rather lead. */
  private boolean shouldYield() {
    if (keyMissingSinceMs < 0) {
      keyMissingSinceMs = context.nowMs;
    }
    return yieldRule.apply(yieldsByNodeOrder || isNextNodeUnreachable())
        && context.nowMs - keyMissingSinceMs < YIELD_STEPS * context.stepMs();
  }

  /**
   * Whether the node that workers try after this one is out of reach, or led until now. A leader in
   * front of it that fails soon loses the workers: four seconds at each of the two nodes are half
   * of their lease. Two silent nodes in a row once cost 1,862 tasks.
   */
  private boolean isNextNodeUnreachable() {
    boolean isOut = nextNode.equals(lastLeader) || isPeerLost.test(nextNode);
    return isOut && isOtherPeerReachable.test(nextNode);
  }

  /** Waits for the leader key to change. */
  private void followLeader(StoredRecord.Leadership leaderRecord, long keyVersion) {
    keyMissingSinceMs = -1;
    if (!leaderRecord.node().equals(leader) || leaderRecord.term() != term) {
      LOG.info("following {} in term {}", leaderRecord.node(), leaderRecord.term());
    }
    leader = leaderRecord.node();
    lastLeader = leader;
    term = Math.max(term, leaderRecord.term());
    store.send(
        new StoreRequest.Watch(StoreKeys.LEADER, keyVersion, leaseMs),
        RequestPriority.LEASE,
        reply -> {
          requestPending = false;
          nextAttemptMs = context.nowMs;
          if (reply instanceof Reply.Changes changes) {
            if (!changes.items().isEmpty()) {
              leader = null;
              vacancySeenMs = context.nowMs;
            }
          } else {
            retryAfterBackoff();
          }
        });
  }

  private void startElection() {
    role = Role.CANDIDATE;
    leader = null;
    store.send(
        new StoreRequest.Get(StoreKeys.TERM),
        RequestPriority.LEASE,
        reply -> {
          if (reply instanceof Reply.Value value) {
            long last = value.record() instanceof StoredRecord.TermCounter t ? t.term() : 0;
            requestLease(last, value.version());
          } else {
            retryAfterBackoff();
          }
        });
  }

  private void requestLease(long previousTerm, long termVersion) {
    long grantSentMs = context.nowMs;
    store.send(
        new StoreRequest.Grant(leaseMs),
        RequestPriority.LEASE,
        reply -> {
          if (reply instanceof Reply.Leased leased) {
            claimLeadership(leased.leaseId(), grantSentMs, previousTerm + 1, termVersion);
          } else {
            retryAfterBackoff();
          }
        });
  }

  private void claimLeadership(long newLeaseId, long grantSentMs, long newTerm, long termVersion) {
    String node = context.settings.nodeName();
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(
                new StoreRequest.Condition(StoreKeys.LEADER, 0),
                new StoreRequest.Condition(StoreKeys.TERM, termVersion)),
            ImmutableList.of(
                new StoreRequest.Change(
                    StoreKeys.LEADER, new StoredRecord.Leadership(node, newTerm), newLeaseId),
                StoreRequest.Change.put(StoreKeys.TERM, new StoredRecord.TermCounter(newTerm)))),
        RequestPriority.LEASE,
        reply -> {
          if (reply instanceof Reply.Committed committed) {
            requestPending = false;
            role = Role.LEADER;
            leaseId = newLeaseId;
            term = newTerm;
            leaderKeyVersion = committed.revision();
            // The lease runs since it was asked for. Counted from when the lead was taken, a node
            // that stood still in between was sure of a lease that was over. Renewed at once.
            leaseValidUntilMs = grantSentMs + usableLeaseMs();
            nextAttemptMs = context.nowMs;
            renewalPending = false;
            store.actAsLeader();
            LOG.info("leading term {} with tokens from {}", term, firstFencingToken());
            listener.onElected();
          } else {
            // Unanswered, it may still apply: the lease then runs out, since nobody renews it.
            store.send(new StoreRequest.Release(newLeaseId), RequestPriority.LEASE, ignored -> {});
            retryAfterBackoff();
          }
        });
  }
}
