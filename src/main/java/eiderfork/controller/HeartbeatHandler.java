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
  private final LeaderElection term;
  private final WorkerCommander workers;
  private final CancellationTracker cancellations;
  private final LeaseProxy leaseProxy;
  private final WorkerReachability hearing;
  private final PendingHeartbeats parked;
  private final WorkerRedirector redirects;

  HeartbeatHandler(
      ControllerContext context,
      LeaderElection term,
      WorkerCommander workers,
      CancellationTracker cancellations,
      LeaseProxy leaseProxy,
      WorkerReachability hearing) {
    this.context = context;
    this.term = term;
    this.workers = workers;
    this.cancellations = cancellations;
    this.leaseProxy = leaseProxy;
    this.hearing = hearing;
    parked = new PendingHeartbeats(context);
    redirects = new WorkerRedirector(context, term);
  }

  /** A report comes. */
  void take(long ticket, Heartbeat report) {
    hearing.heard(report.machine().name());
    if (answer(ticket, report)) {
      return;
    }
    if (leaseProxy.mayAnswer(report) || mayCome() || redirects.hasLostLeader(report)) {
      parked.add(ticket, report);
    } else {
      redirect(ticket, report);
    }
  }

  /** Takes parked reports once more, after an input that may have changed what becomes of them. */
  void retryParked(Input input) {
    if (mayEndParking(input)) {
      parked.retry(this::answerOrRedirect);
    }
  }

  /** Forgets long gone redirects. */
  void tick() {
    redirects.tick();
  }

  /** Answers a worker where this node may, as the leader or in its place; whether it did. */
  private boolean answer(long ticket, Heartbeat report) {
    if (term.leading() && cancellations.mayRenew()) {
      workers.report(ticket, report);
      return true;
    }
    if (leaseProxy.mayAnswer(report) && leaseProxy.ready(report)) {
      leaseProxy.answer(ticket, report);
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
  private boolean answerOrRedirect(PendingHeartbeats.Parked it) {
    if (answer(it.ticket(), it.report())) {
      return true;
    }
    if (context.nowMs - it.sinceMs() < patienceMs(it.report())) {
      return false;
    }
    redirect(it.ticket(), it.report());
    return true;
  }

  /** How long a report may wait here, by what this node knows now. */
  private long patienceMs(Heartbeat report) {
    boolean mayAnswer = leaseProxy.mayAnswer(report);
    if (redirects.hasLostLeader(report) && !mayAnswer) {
      return LOST_LEADER_STEPS * context.stepMs();
    }
    if (!mayAnswer && !mayCome()) {
      return 0;
    }
    return context.stepMs() * (mayAnswer || term.leading() ? 2 : 1);
  }

  /**
   * Whether this node may know soon what to answer a worker: who leads or, where it leads with a
   * sure lease, which jobs were cancelled while the state service did not serve it.
   */
  private boolean mayCome() {
    return term.leading() ? term.sure() : term.leader() == null;
  }

  private void redirect(long ticket, Heartbeat report) {
    leaseProxy.sentAway(report);
    context.emit(new Effect.RedirectWorker(ticket, redirects.target(report)));
  }

  /** Whether an input can change what becomes of parked reports; most inputs can't. */
  private static boolean mayEndParking(Input input) {
    return input instanceof Input.Tick
        || input instanceof Input.Answered
        || input instanceof Input.PeerPing;
  }
}
