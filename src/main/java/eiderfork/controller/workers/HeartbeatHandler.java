package eiderfork.controller.workers;

import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.model.Heartbeat;

/**
 * Handles heartbeats that arrive at this node. It answers a worker if this node may do so, as
 * leader or lease proxy; otherwise it redirects the worker to the leader, or defers the response
 * briefly if this node may be able to answer soon.
 */
public final class HeartbeatHandler {
  /**
   * The time for which the heartbeat of a worker that has lost the leader is deferred while a new
   * leader may be elected, in steps. It is shorter than a worker's response timeout and than a
   * leader lease.
   */
  private static final int LOST_LEADER_WAIT_STEPS = 3;

  private final ControllerContext context;
  private final LeaderElection election;
  private final WorkerCommander commander;
  private final CancellationTracker cancellations;
  private final LeaseProxy leaseProxy;
  private final WorkerReachability reachability;
  private final DeferredHeartbeats deferredHeartbeats;
  private final WorkerRedirector redirector;

  /** Creates a handler without deferred heartbeats. */
  public HeartbeatHandler(
      ControllerContext context,
      LeaderElection election,
      WorkerCommander commander,
      CancellationTracker cancellations,
      LeaseProxy leaseProxy,
      WorkerReachability reachability) {
    this.context = context;
    this.election = election;
    this.commander = commander;
    this.cancellations = cancellations;
    this.leaseProxy = leaseProxy;
    this.reachability = reachability;
    deferredHeartbeats = new DeferredHeartbeats(context);
    redirector = new WorkerRedirector(context, election);
  }

  /** Handles a heartbeat that has just arrived. */
  public void handle(long ticket, Heartbeat heartbeat) {
    reachability.recordHeartbeat(heartbeat.machine().name());
    if (tryAnswer(ticket, heartbeat)) {
      return;
    }
    if (leaseProxy.prepareToAnswer(heartbeat)
        || mayAnswerSoon()
        || redirector.hasLostLeader(heartbeat)) {
      deferredHeartbeats.add(ticket, heartbeat);
    } else {
      redirect(ticket, heartbeat);
    }
  }

  /** Retries the deferred heartbeats after an input that may allow a response. */
  public void retryPending(Input input) {
    if (canResolveDeferred(input)) {
      deferredHeartbeats.retry(this::answerOrRedirect);
    }
  }

  /** Removes outdated redirects. */
  public void tick() {
    redirector.tick();
  }

  /**
   * Answers a worker if this node may do so now, as leader or as lease proxy.
   *
   * @return whether the worker was answered
   */
  private boolean tryAnswer(long ticket, Heartbeat heartbeat) {
    if (election.isLeading() && cancellations.mayRenewLeases()) {
      commander.handleHeartbeat(ticket, heartbeat);
      return true;
    }
    if (leaseProxy.prepareToAnswer(heartbeat) && leaseProxy.canAnswerNow(heartbeat)) {
      leaseProxy.answer(ticket, heartbeat);
      return true;
    }
    return false;
  }

  /**
   * Tries to answer a deferred heartbeat, and redirects its worker after the maximum wait. A worker
   * that is redirected without a node's name waits for a second before it tries the next node, and
   * its lease may expire in that time.
   *
   * @return whether the heartbeat need not be deferred any longer
   */
  private boolean answerOrRedirect(DeferredHeartbeats.DeferredHeartbeat deferred) {
    if (tryAnswer(deferred.ticket(), deferred.heartbeat())) {
      return true;
    }
    if (context.nowMs() - deferred.receivedMs() < maxDeferralMs(deferred.heartbeat())) {
      return false;
    }
    redirect(deferred.ticket(), deferred.heartbeat());
    return true;
  }

  /** Returns the time for which a heartbeat may be deferred, given this node's current state. */
  private long maxDeferralMs(Heartbeat heartbeat) {
    boolean mayAnswer = leaseProxy.prepareToAnswer(heartbeat);
    if (redirector.hasLostLeader(heartbeat) && !mayAnswer) {
      return LOST_LEADER_WAIT_STEPS * context.stepMs();
    }
    if (!mayAnswer && !mayAnswerSoon()) {
      return 0;
    }
    return context.stepMs() * (mayAnswer || election.isLeading() ? 2 : 1);
  }

  /**
   * Returns whether this node may soon be able to answer workers. A node without a known leader may
   * learn of one. A leader with a valid lease may learn which jobs were cancelled while it could
   * not reach the store.
   */
  private boolean mayAnswerSoon() {
    return election.isLeading() ? election.isLeaseValid() : election.leader() == null;
  }

  private void redirect(long ticket, Heartbeat heartbeat) {
    leaseProxy.recordRedirect(heartbeat);
    context.emit(new Effect.RedirectWorker(ticket, redirector.redirectTarget(heartbeat)));
  }

  /** Returns whether an input can allow a response to deferred heartbeats; most inputs cannot. */
  private static boolean canResolveDeferred(Input input) {
    return input instanceof Input.Tick
        || input instanceof Input.CallCompleted
        || input instanceof Input.PeerPing;
  }
}
