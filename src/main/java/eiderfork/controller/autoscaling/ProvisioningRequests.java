package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.model.StoredRecord;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The open calls of one kind to the cloud. Each is stored as an intent before it is made, and made
 * again under the same name until it is answered, also by later leaders.
 */
abstract class ProvisioningRequests<R extends ProvisioningRequest> {
  /** What the subclasses work with. */
  final ControllerContext context;

  final MachineRegistry fleet;

  private final LeaderElection election;
  private final ProvisioningIntents intents;
  private final TokenBucket callBudget;
  private final Map<String, R> openByKey = new LinkedHashMap<>();
  private int lastRequestNumber;

  /**
   * @param callBudget the budget of calls to the cloud
   */
  ProvisioningRequests(
      ControllerContext context,
      LeaderElection election,
      MachineRegistry fleet,
      ProvisioningIntents intents,
      TokenBucket callBudget) {
    this.context = context;
    this.election = election;
    this.fleet = fleet;
    this.intents = intents;
    this.callBudget = callBudget;
  }

  /** The call that carries a request out. */
  abstract Effect.Call toCall(long callId, R request);

  /** A call of an open request was answered. */
  abstract void onReply(R request, Reply reply);

  /** The intent of a request was not stored; the request is given up. */
  void onIntentFailed(R request) {}

  /** Forgets the requests of a term that is over. */
  void reset() {
    openByKey.clear();
    lastRequestNumber = 0;
  }

  /** A name that no other request of this kind has had in any term. */
  final String nextRequestName() {
    return "t" + election.currentTerm() + "-" + ++lastRequestNumber;
  }

  final Backoff newBackoff() {
    return new Backoff(context.stepMs(), context.cloudListLagMs());
  }

  /** Stores the intent of a new request; the call is made once that is committed. */
  final void submit(R request, StoredRecord intent) {
    openByKey.put(request.key(), request);
    intents.reserve(
        request.key(),
        intent,
        () -> isOpen(request),
        request::intentCommitted,
        () -> {
          openByKey.remove(request.key());
          onIntentFailed(request);
        });
  }

  /** Takes up a request whose intent an earlier leader stored. */
  final void restore(R request) {
    request.intentCommitted();
    openByKey.put(request.key(), request);
  }

  /** The requests that are not settled, the oldest first. */
  final List<R> openRequests() {
    return List.copyOf(openByKey.values());
  }

  /** The request is settled: forgets it and removes its intent. */
  final void close(R request) {
    openByKey.remove(request.key());
    intents.remove(request.key());
  }

  /** Makes the calls that are due, as far as the budget goes. */
  final void sendDue() {
    for (R request : openRequests()) {
      if (request.isDue(context.nowMs()) && callBudget.tryTake(1, context.nowMs())) {
        send(request);
      }
    }
  }

  private void send(R request) {
    request.callStarted();
    context.call(
        callId -> toCall(callId, request),
        reply -> {
          request.callEnded();
          if (isOpen(request)) {
            onReply(request, reply);
          }
        });
  }

  private boolean isOpen(R request) {
    return openByKey.get(request.key()) == request;
  }
}
