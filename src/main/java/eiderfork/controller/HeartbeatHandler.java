package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.model.Heartbeat;

/**
 * Workers' reports as they come to this node: answered where it may, sent to the leader where it
 * may not, and kept waiting for a moment where that may change.
 */
final class HeartbeatHandler {
  /**
   * How long a worker that has lost the leader may wait here for another one, in steps. It is three
   * quarters of what a worker waits for an answer, and less than a leader's lease.
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

  HeartbeatHandler(
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

  /** A report comes. */
  void handle(long ticket, Heartbeat heartbeat) {
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

  /** Takes parked reports once more, after an input that may have changed what becomes of them. */
  void retryPending(Input input) {
    if (canResolvePending(input)) {
      deferredHeartbeats.retry(this::answerOrRedirect);
    }
  }

  /** Forgets long gone redirects. */
  void tick() {
    redirector.tick();
  }

  /** Answers a worker where this node may, as the leader or in its place; whether it did. */
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
   * Takes a parked report once more: after a while its worker is turned away. A worker turned away
   * without a name tries the next node a second later, and after a crash of all nodes its lease has
   * less than that left.
   *
   * @return whether the report need not wait any more
   */
  private boolean answerOrRedirect(DeferredHeartbeats.PendingHeartbeat pendingHeartbeat) {
    if (tryAnswer(pendingHeartbeat.ticket(), pendingHeartbeat.heartbeat())) {
      return true;
    }
    if (context.nowMs - pendingHeartbeat.receivedMs()
        < maxPendingMs(pendingHeartbeat.heartbeat())) {
      return false;
    }
    redirect(pendingHeartbeat.ticket(), pendingHeartbeat.heartbeat());
    return true;
  }

  /** How long a report may wait here, by what this node knows now. */
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
   * Whether this node may know soon what to answer a worker: who leads or, where it leads with a
   * sure lease, which jobs were cancelled while the state service did not serve it.
   */
  private boolean mayAnswerSoon() {
    return election.isLeading() ? election.isLeaseValid() : election.leader() == null;
  }

  private void redirect(long ticket, Heartbeat heartbeat) {
    leaseProxy.recordRedirect(heartbeat);
    context.emit(new Effect.RedirectWorker(ticket, redirector.target(heartbeat)));
  }

  /** Whether an input can change what becomes of parked reports; most inputs can't. */
  private static boolean canResolvePending(Input input) {
    return input instanceof Input.Tick
        || input instanceof Input.Answered
        || input instanceof Input.PeerPing;
  }
}
