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
 * The open requests of one kind to the cloud. An intent is stored for each before its first call.
 * The call is retried under the same name until it is answered, also by later leaders.
 */
abstract class ProvisioningRequests<R extends ProvisioningRequest> {
  final ControllerContext context;

  final MachineRegistry fleet;

  private final LeaderElection election;
  private final ProvisioningIntents intents;
  private final TokenBucket callBudget;
  private final Map<String, R> openByKey = new LinkedHashMap<>();
  private int lastRequestNumber;

  /**
   * @param callBudget the rate limit of calls to the cloud, shared with other requests
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

  /** Returns the call that carries out a request. */
  abstract Effect.Call toCall(long callId, R request);

  /** Handles the reply to a call of an open request. */
  abstract void onReply(R request, Reply reply);

  /** Handles the failure to store the intent of a request, which is dropped. */
  void onIntentFailed(R request) {}

  /** Discards the requests of an earlier term. */
  void reset() {
    openByKey.clear();
    lastRequestNumber = 0;
  }

  /** Returns a request name that is unique among the requests of this kind in all terms. */
  final String nextRequestName() {
    return "t" + election.currentTerm() + "-" + ++lastRequestNumber;
  }

  final Backoff newBackoff() {
    return new Backoff(context.stepMs(), context.cloudListLagMs());
  }

  /** Stores the intent of a new request; the call is made once the intent is committed. */
  final void submit(R request, StoredRecord intent) {
    openByKey.put(request.key(), request);
    intents.storeIntent(
        request.key(),
        intent,
        () -> isOpen(request),
        request::onIntentCommitted,
        () -> {
          openByKey.remove(request.key());
          onIntentFailed(request);
        });
  }

  /** Resumes a request whose intent an earlier leader stored. */
  final void restore(R request) {
    request.onIntentCommitted();
    openByKey.put(request.key(), request);
  }

  /** Returns the requests that are not settled, the oldest first. */
  final List<R> openRequests() {
    return List.copyOf(openByKey.values());
  }

  /** Closes a settled request and removes its intent. */
  final void close(R request) {
    openByKey.remove(request.key());
    intents.remove(request.key());
  }

  /** Makes the calls that are due and that the call budget allows. */
  final void sendDue() {
    for (R request : openRequests()) {
      if (request.isDue(context.nowMs()) && callBudget.tryTake(1, context.nowMs())) {
        send(request);
      }
    }
  }

  private void send(R request) {
    request.onCallStarted();
    context.call(
        callId -> toCall(callId, request),
        reply -> {
          request.onCallEnded();
          if (isOpen(request)) {
            onReply(request, reply);
          }
        });
  }

  private boolean isOpen(R request) {
    return openByKey.get(request.key()) == request;
  }
}
