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
    void elected();

    /** This node led and surely does so no more; somebody else may. */
    void deposed();
  }

  private enum Phase {
    /** Reads the leader key or waits for it to go. */
    FOLLOWING,
    /** Takes the leader key. */
    STANDING,
    LEADING
  }

  /** The term stands in the bits above these of a token, the per-worker sequence below. */
  public static final int SEQUENCE_BITS = 24;

  /** A lease is renewed this many times in its life, so that two lost renewals are survived. */
  private static final int RENEWALS = 3;

  /**
   * The share of the workers' lease that the leader's takes is of no more than this many steps.
   * Users wait for a new leader as well as workers, and not longer where workers' leases are long.
   */
  private static final int MOST_STEPS = 10;

  /**
   * How long a node that others should rather lead waits for one of them, in steps. It is far more
   * than a slow state service takes over an election, and less than workers' leases leave.
   */
  private static final double YIELD_STEPS = 1;

  /** How much of its lease a leader leaves unused, for slow clocks and late replies. */
  private static final double LEASE_MARGIN = 0.1;

  private final ControllerContext context;
  private final StoreClient gate;
  private final Listener listener;
  private final long leaseMs;
  private final Backoff backoff;

  private Phase phase = Phase.FOLLOWING;
  private long lease;
  private long leaseSureUntilMs;
  private long leaderVersion;
  private long term;
  private String leader;
  private boolean busy;
  private boolean renewing;
  private long nextMs;
  private long standDownUntilMs;

  /** Whether other nodes should rather lead, see {@link CandidateOrder}. */
  private final boolean yields;

  /** The node that workers try after this one. */
  private final String nextNode;

  /** The node that led last, as far as known. */
  private String lastLeader;

  /** Whether a node was heard and is not any more. */
  private Predicate<String> isLost = node -> false;

  /** Whether any node but this one and the one named is heard. */
  private Predicate<String> othersHeard = node -> false;

  /** Decides on that anew, given what the order of nodes says. */
  private UnaryOperator<Boolean> yieldRule = byOrder -> byOrder;

  /** Since when the leader key has been seen to be missing; -1 while it stands. */
  private long vacantSinceMs = -1;

  private long vacantSeenMs = -1;

  /** Makes a term that this node follows in; {@code listener} is told of changes. */
  public LeaderElection(ControllerContext context, StoreClient gate, Listener listener) {
    this.context = context;
    this.gate = gate;
    this.listener = listener;
    long mostMs = Math.min(context.leaseMs(), MOST_STEPS * context.stepMs());
    leaseMs = (long) (mostMs * context.settings.operator().stateLeaseShare());
    backoff = new Backoff(leaseMs / 20, leaseMs / 4);
    nextMs = context.nowMs;
    CandidateOrder order = CandidateOrder.of(context.settings);
    yields = !order.nextStandsInOtherZone();
    nextNode = order.next();
  }

  /** Whether this node leads, as far as it knows. */
  public boolean leading() {
    return phase == Phase.LEADING;
  }

  /** Whether the lease surely holds, so that nobody else can lead. */
  public boolean sure() {
    return leading() && context.nowMs < leaseSureUntilMs;
  }

  /** The term that this node leads in or follows. */
  public long number() {
    return term;
  }

  /** The smallest fencing token of this term. */
  public long firstToken() {
    return term << SEQUENCE_BITS;
  }

  /** The smallest fencing token of the next term. */
  public long endOfTokens() {
    return (term + 1) << SEQUENCE_BITS;
  }

  /** The node that leads as far as known, or null. */
  public String leader() {
    return leading() ? context.settings.node() : leader;
  }

  /** The condition under which a leader's write is carried out in its own term alone. */
  public StoreRequest.Condition condition() {
    return new StoreRequest.Condition(StoreKeys.LEADER, leaderVersion);
  }

  /** Renews the lease, or looks for a lead that is vacant. */
  public void tick() {
    if (leading()) {
      if (!renewing && context.nowMs >= nextMs) {
        renew();
      }
    } else if (!busy && context.nowMs >= nextMs) {
      if (phase == Phase.FOLLOWING) {
        read();
      }
    }
  }

  /** Has this rule decide whether a vacant lead is left to others for a while. */
  public void yieldWhere(UnaryOperator<Boolean> rule) {
    yieldRule = rule;
  }

  /**
   * Has these tell which nodes are heard.
   *
   * @param lost whether a node was heard and is not any more
   * @param others whether any node but this one and the one named is heard
   */
  public void hearsNodes(Predicate<String> lost, Predicate<String> others) {
    isLost = lost;
    othersHeard = others;
  }

  /** The revision as which this leader's key was written. */
  public long leaderRevision() {
    return leaderVersion;
  }

  /** When the lead that this node holds was first seen to be vacant; -1 where it was not. */
  public long vacantSeenMs() {
    return vacantSeenMs;
  }

  /** A higher term was seen somewhere: this node's is over. */
  public void outdated(long seen) {
    if (leading() && seen > term) {
      LOG.info("term {} is over: term {} was seen", term, seen);
      lose();
    }
  }

  /** Gives the lead up, and leaves it to others for a while. */
  public void resign(long quietMs) {
    if (!leading()) {
      return;
    }
    LOG.info("resigning term {}", term);
    long old = lease;
    lose();
    standDownUntilMs = context.nowMs + quietMs;
    gate.send(new StoreRequest.Release(old), RequestPriority.LEASE, reply -> {});
  }

  /** A peer says that it leads. */
  public void heardLeader(String node, long itsTerm) {
    if (itsTerm > term) {
      outdated(itsTerm);
      term = itsTerm;
      leader = node;
    }
  }

  private void renew() {
    renewing = true;
    long sentMs = context.nowMs;
    nextMs = sentMs + leaseMs / RENEWALS;
    long renewed = lease;
    gate.send(
        new StoreRequest.Renew(renewed),
        RequestPriority.LEASE,
        reply -> {
          renewing = false;
          if (!leading() || lease != renewed) {
            return;
          }
          if (reply instanceof Reply.Leased) {
            backoff.reset();
            leaseSureUntilMs = sentMs + sureMs();
          } else if (reply instanceof Reply.Refused refused && refused.status() == 404) {
            LOG.info("term {}: the lease is gone", term);
            lose();
          } else {
            nextMs = context.nowMs + backoff.next(context.random);
          }
        });
  }

  private long sureMs() {
    return (long) (leaseMs * (1 - LEASE_MARGIN));
  }

  /** The leader key's conditions failed: somebody else's key stands there. */
  public void conditionFailed() {
    if (leading()) {
      LOG.info("term {}: the leader key is not ours any more", term);
      lose();
    }
  }

  private void lose() {
    phase = Phase.FOLLOWING;
    leader = null;
    leaseSureUntilMs = 0;
    nextMs = context.nowMs;
    gate.leading(false);
    listener.deposed();
  }

  private void later() {
    busy = false;
    phase = Phase.FOLLOWING;
    nextMs = context.nowMs + backoff.next(context.random);
  }

  private void read() {
    busy = true;
    gate.send(
        new StoreRequest.Get(StoreKeys.LEADER),
        RequestPriority.LEASE,
        reply -> {
          if (!(reply instanceof Reply.Value value)) {
            later();
            return;
          }
          backoff.reset();
          if (value.record() instanceof StoredRecord.Leadership it) {
            follow(it, value.version());
          } else if (context.nowMs < standDownUntilMs || leavesToOthers()) {
            later();
          } else {
            stand();
          }
        });
  }

  /** Whether this node still waits for one of those that should rather lead. */
  private boolean leavesToOthers() {
    if (vacantSinceMs < 0) {
      vacantSinceMs = context.nowMs;
    }
    return yieldRule.apply(yields || isNextOut())
        && context.nowMs - vacantSinceMs < YIELD_STEPS * context.stepMs();
  }

  /**
   * Whether the node that workers try after this one is out of reach, or led until now. A leader in
   * front of it that fails soon loses the workers: four seconds at each of the two nodes are half
   * of their lease. Two silent nodes in a row once cost 1,862 tasks.
   */
  private boolean isNextOut() {
    boolean isOut = nextNode.equals(lastLeader) || isLost.test(nextNode);
    return isOut && othersHeard.test(nextNode);
  }

  /** Waits for the leader key to change. */
  private void follow(StoredRecord.Leadership it, long version) {
    vacantSinceMs = -1;
    if (!it.node().equals(leader) || it.term() != term) {
      LOG.info("following {} in term {}", it.node(), it.term());
    }
    leader = it.node();
    lastLeader = leader;
    term = Math.max(term, it.term());
    gate.send(
        new StoreRequest.Watch(StoreKeys.LEADER, version, leaseMs),
        RequestPriority.LEASE,
        reply -> {
          busy = false;
          nextMs = context.nowMs;
          if (reply instanceof Reply.Changes changes) {
            if (!changes.items().isEmpty()) {
              leader = null;
              vacantSeenMs = context.nowMs;
            }
          } else {
            later();
          }
        });
  }

  private void stand() {
    phase = Phase.STANDING;
    leader = null;
    gate.send(
        new StoreRequest.Get(StoreKeys.TERM),
        RequestPriority.LEASE,
        reply -> {
          if (reply instanceof Reply.Value value) {
            long last = value.record() instanceof StoredRecord.Term t ? t.term() : 0;
            grant(last, value.version());
          } else {
            later();
          }
        });
  }

  private void grant(long last, long termVersion) {
    long grantSentMs = context.nowMs;
    gate.send(
        new StoreRequest.Grant(leaseMs),
        RequestPriority.LEASE,
        reply -> {
          if (reply instanceof Reply.Leased leased) {
            take(leased.lease(), grantSentMs, last + 1, termVersion);
          } else {
            later();
          }
        });
  }

  private void take(long newLease, long grantSentMs, long newTerm, long termVersion) {
    String node = context.settings.node();
    gate.send(
        new StoreRequest.Transact(
            ImmutableList.of(
                new StoreRequest.Condition(StoreKeys.LEADER, 0),
                new StoreRequest.Condition(StoreKeys.TERM, termVersion)),
            ImmutableList.of(
                new StoreRequest.Change(
                    StoreKeys.LEADER, new StoredRecord.Leadership(node, newTerm), newLease),
                StoreRequest.Change.put(StoreKeys.TERM, new StoredRecord.Term(newTerm)))),
        RequestPriority.LEASE,
        reply -> {
          if (reply instanceof Reply.Committed committed) {
            busy = false;
            phase = Phase.LEADING;
            lease = newLease;
            term = newTerm;
            leaderVersion = committed.revision();
            // The lease runs since it was asked for. Counted from when the lead was taken, a node
            // that stood still in between was sure of a lease that was over. Renewed at once.
            leaseSureUntilMs = grantSentMs + sureMs();
            nextMs = context.nowMs;
            renewing = false;
            gate.leading(true);
            LOG.info("leading term {} with tokens from {}", term, firstToken());
            listener.elected();
          } else {
            // Unanswered, it may still apply: the lease then runs out, since nobody renews it.
            gate.send(new StoreRequest.Release(newLease), RequestPriority.LEASE, ignored -> {});
            later();
          }
        });
  }
}
