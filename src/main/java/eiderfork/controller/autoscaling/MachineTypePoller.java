package eiderfork.controller.autoscaling;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;

/** Polls the cloud's machine types, whose prices change, and stores them. */
final class MachineTypePoller {
  /** The polling interval, in lags of the cloud's list of machines. */
  private static final int REFRESH_LAGS = 8;

  private final ControllerContext context;
  private final LeaderElection election;
  private final StoreClient store;
  private final MachineRegistry fleet;
  private final TokenBucket callBudget;
  private final Backoff backoff;
  private long nextRequestMs;
  private boolean isInFlight;
  private boolean areTypesStored;

  MachineTypePoller(
      ControllerContext context,
      LeaderElection election,
      StoreClient store,
      MachineRegistry fleet,
      TokenBucket callBudget) {
    this.context = context;
    this.election = election;
    this.store = store;
    this.fleet = fleet;
    this.callBudget = callBudget;
    backoff = new Backoff(context.stepMs(), context.cloudListLagMs());
  }

  /** Discards the state of an earlier term. */
  void reset() {
    isInFlight = false;
    areTypesStored = false;
    nextRequestMs = 0;
  }

  /** Requests the types if that is due and the call budget allows it. */
  void requestIfDue() {
    if (!isInFlight && context.nowMs() >= nextRequestMs && callBudget.tryTake(1, context.nowMs())) {
      request();
    }
  }

  private void request() {
    isInFlight = true;
    context.call(
        callId -> new Effect.ListMachineTypes(callId, CloudProvisioner.callTimeoutMs(context)),
        reply -> {
          isInFlight = false;
          if (reply instanceof Reply.Types types) {
            onTypes(types);
          } else {
            nextRequestMs = context.nowMs() + backoff.nextPauseMs(context.random);
          }
        });
  }

  private void onTypes(Reply.Types types) {
    backoff.reset();
    boolean isFirst = fleet.types().isEmpty();
    fleet.updateTypes(types.types());
    nextRequestMs = context.nowMs() + REFRESH_LAGS * context.cloudListLagMs();
    if (isFirst || !areTypesStored) {
      storeTypes();
    }
  }

  private void storeTypes() {
    areTypesStored = true;
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(election.leaderCondition()),
            ImmutableList.of(
                StoreRequest.Change.put(StoreKeys.MACHINE_TYPES, fleet.typesRecord()))),
        RequestPriority.CLEANUP,
        reply -> areTypesStored = reply instanceof Reply.Committed);
  }
}
