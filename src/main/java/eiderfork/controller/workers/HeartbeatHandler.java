package eiderfork.controller.workers;

import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.model.Heartbeat;

/**
 * Handles heartbeats that arrive at this node: answers them where it may, redirects workers to the
 * leader where it may not, and defers the response for a moment where that may change.
 */
public final class HeartbeatHandler {
  /**
   * How long a worker that lost the leader may wait here for another one, in steps. It is less than
   * a worker's response time-out and less than a leader lease.
   */
  private static final int LOST_LEADER_STEPS = 3;

  private final ControllerContext context;
  private final LeaderElection election;
  private final WorkerCommander commander;
  private final CancellationTracker cancellations;
  private final LeaseProxy leaseProxy;
  private final WorkerReachability reachability;
  private final DeferredHeartbeats deferredHeartbeats;
  private final WorkerRedirector redirector;

  /** Makes a handler without pending heartbeats. */
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
    if (leaseProxy.canAnswer(heartbeat) || mayAnswerSoon() || redirector.hasLostLeader(heartbeat)) {
      deferredHeartbeats.add(ticket, heartbeat);
    } else {
      redirect(ticket, heartbeat);
    }
  }

  /** Tries to respond to deferred heartbeats after an input that may allow it. */
  public void retryPending(Input input) {
    if (canResolvePending(input)) {
      deferredHeartbeats.retry(this::answerOrRedirect);
    }
  }

  /** Forgets outdated redirects. */
  public void tick() {
    redirector.tick();
  }

  /** Answers a worker where this node may, as leader or as lease proxy; whether it did. */
  private boolean tryAnswer(long ticket, Heartbeat heartbeat) {
    if (election.isLeading() && cancellations.mayRenewLeases()) {
      commander.handleHeartbeat(ticket, heartbeat);
      return true;
    }
    if (leaseProxy.canAnswer(heartbeat) && leaseProxy.canAnswerNow(heartbeat)) {
      leaseProxy.answer(ticket, heartbeat);
      return true;
    }
    return false;
  }

  /**
   * Tries to answer a deferred heartbeat, and redirects its worker once it has waited long enough.
   * A worker that is redirected without a node's name tries the next node only a second later, when
   * its lease may be over.
   *
   * @return whether the heartbeat need not wait any more
   */
  private boolean answerOrRedirect(DeferredHeartbeats.PendingHeartbeat pendingHeartbeat) {
    if (tryAnswer(pendingHeartbeat.ticket(), pendingHeartbeat.heartbeat())) {
      return true;
    }
    if (context.nowMs() - pendingHeartbeat.receivedMs()
        < maxPendingMs(pendingHeartbeat.heartbeat())) {
      return false;
    }
    redirect(pendingHeartbeat.ticket(), pendingHeartbeat.heartbeat());
    return true;
  }

  /** How long a heartbeat may wait here, by what this node knows now. */
  private long maxPendingMs(Heartbeat heartbeat) {
    boolean mayAnswer = leaseProxy.canAnswer(heartbeat);
    if (redirector.hasLostLeader(heartbeat) && !mayAnswer) {
      return LOST_LEADER_STEPS * context.stepMs();
    }
    if (!mayAnswer && !mayAnswerSoon()) {
      return 0;
    }
    return context.stepMs() * (mayAnswer || election.isLeading() ? 2 : 1);
  }

  /**
   * Whether this node may know soon how to answer a worker: who leads or, where it leads with a
   * valid lease, which jobs were cancelled while the store was unavailable to it.
   */
  private boolean mayAnswerSoon() {
    return election.isLeading() ? election.isLeaseValid() : election.leader() == null;
  }

  private void redirect(long ticket, Heartbeat heartbeat) {
    leaseProxy.recordRedirect(heartbeat);
    context.emit(new Effect.RedirectWorker(ticket, redirector.target(heartbeat)));
  }

  /** Whether an input can allow a response to deferred heartbeats; most inputs can't. */
  private static boolean canResolvePending(Input input) {
    return input instanceof Input.Tick
        || input instanceof Input.Answered
        || input instanceof Input.PeerPing;
  }
}
