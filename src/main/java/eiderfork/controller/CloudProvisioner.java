package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.ListedMachine;
import eiderfork.model.Machine;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's dealings with the cloud. Every rent and return stands in the state service before it
 * is asked for; one without an answer is asked for again under the same name until it is settled.
 */
final class CloudProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(CloudProvisioner.class);

  /** The share of the cloud's limit that is used, so that a clock's drift never exceeds it. */
  private static final double CALL_RATE_SHARE = 0.9;

  /** How long the cloud may take over a call, in steps. */
  private static final int CALL_TIMEOUT_STEPS = 5;

  /** Prices move slowly; they are read again after this many lags of the list. */
  private static final int TYPES_REFRESH_LAGS = 8;

  /** A list that is not whole after this many of its lags is begun anew. */
  private static final int MAX_LISTING_LAGS = 4;

  /** A kind of machine that may be out of stock. */
  record MachineKind(String type, String zone, boolean spot) {
    /** The kind that a machine is of. */
    static MachineKind of(Machine machine) {
      return new MachineKind(machine.type(), machine.zone(), machine.spot());
    }
  }

  private final ControllerContext context;
  private final LeaderElection election;
  private final StoreClient store;
  private final MachineRegistry fleet;
  private final TokenBucket callBudget;
  private final ScaleOutRequests scaleOut;
  private final ScaleInRequests scaleIn;
  private long nextTypesRequestMs;
  private boolean isTypesRequestInFlight;
  private boolean areTypesStored;
  private long nextPageRequestMs;

  /** The list that is being read; null between lists. */
  private Listing listing;

  /** A page of the list was asked for and not answered. */
  private boolean isPageRequestInFlight;

  private final Backoff listBackoff;
  private final Backoff typesBackoff;

  /** What was read of a list: it comes page by page, each a call within the cloud's rate. */
  private static final class Listing {
    final long startedMs;
    final Map<String, ListedMachine> entriesByName = new LinkedHashMap<>();
    String lastName = "";

    Listing(long startedMs) {
      this.startedMs = startedMs;
    }
  }

  /** Whether a whole list has been taken in this term. */
  private boolean hasCompleteListing;

  CloudProvisioner(
      ControllerContext context,
      LeaderElection election,
      StoreClient store,
      MachineRegistry fleet) {
    this.context = context;
    this.election = election;
    this.store = store;
    this.fleet = fleet;
    double rps = context.settings.cloudLimits().requestsPerS() * CALL_RATE_SHARE;
    callBudget = new TokenBucket(rps, Math.max(1, rps * 2), context.nowMs);
    ProvisioningIntents intents = new ProvisioningIntents(election, store);
    scaleOut = new ScaleOutRequests(context, election, fleet, intents, callBudget);
    scaleIn = new ScaleInRequests(context, election, fleet, intents, callBudget);
    listBackoff = new Backoff(context.stepMs(), context.cloudListLagMs());
    typesBackoff = new Backoff(context.stepMs(), context.cloudListLagMs());
  }

  void reset() {
    scaleOut.reset();
    scaleIn.reset();
    listing = null;
    isPageRequestInFlight = false;
    hasCompleteListing = false;
    isTypesRequestInFlight = false;
    areTypesStored = false;
    nextPageRequestMs = 0;
    nextTypesRequestMs = 0;
  }

  boolean hasCompleteListing() {
    return hasCompleteListing;
  }

  /** What is rented. */
  ScaleOutRequests rents() {
    return scaleOut;
  }

  /** What is given back. */
  ScaleInRequests returns() {
    return scaleIn;
  }

  /** Makes the calls that are due: returns first, and a list before prices are read again. */
  void tick() {
    scaleIn.tick();
    if (fleet.types().isEmpty()) {
      requestTypesIfDue();
    }
    scaleOut.tick();
    if (!isPageRequestInFlight && context.nowMs >= nextPageRequestMs && takeCallToken()) {
      requestPage();
    }
    requestTypesIfDue();
  }

  private void requestTypesIfDue() {
    if (!isTypesRequestInFlight && context.nowMs >= nextTypesRequestMs && takeCallToken()) {
      requestTypes();
    }
  }

  private boolean takeCallToken() {
    return callBudget.tryTake(1, context.nowMs);
  }

  /** How long a call to the cloud may take. */
  static long callTimeoutMs(ControllerContext context) {
    return context.stepMs() * CALL_TIMEOUT_STEPS;
  }

  private void requestTypes() {
    isTypesRequestInFlight = true;
    context.call(
        call -> new Effect.ListMachineTypes(call, callTimeoutMs(context)),
        reply -> {
          isTypesRequestInFlight = false;
          if (reply instanceof Reply.Types types) {
            typesBackoff.reset();
            boolean first = fleet.types().isEmpty();
            fleet.updateTypes(types.types());
            nextTypesRequestMs = context.nowMs + TYPES_REFRESH_LAGS * context.cloudListLagMs();
            if (first || !areTypesStored) {
              storeTypes();
            }
          } else {
            nextTypesRequestMs = context.nowMs + typesBackoff.nextPauseMs(context.random);
          }
        });
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

  /** Asks for the next page; a list that takes too long is begun anew. */
  private void requestPage() {
    if (listing == null
        || context.nowMs - listing.startedMs > MAX_LISTING_LAGS * context.cloudListLagMs()) {
      listing = new Listing(context.nowMs);
    }
    Listing current = listing;
    isPageRequestInFlight = true;
    context.call(
        call -> new Effect.ListHosts(call, current.lastName, callTimeoutMs(context)),
        reply -> {
          if (listing == current) {
            isPageRequestInFlight = false;
            onPageReply(current, reply);
          }
        });
  }

  private void onPageReply(Listing current, Reply reply) {
    if (!(reply instanceof Reply.Hosts hosts)) {
      // What was read stays good: a list says less the longer it takes, and nothing wrong.
      nextPageRequestMs = context.nowMs + listBackoff.nextPauseMs(context.random);
      return;
    }
    String before = current.lastName;
    for (ListedMachine entry : hosts.entries()) {
      current.entriesByName.put(entry.machine().name(), entry);
      current.lastName = entry.machine().name();
    }
    if (hosts.hasMore() && !current.lastName.equals(before)) {
      return;
    }
    listing = null;
    listBackoff.reset();
    nextPageRequestMs = context.nowMs + context.cloudListLagMs() / 2;
    fleet.applyMachineList(current.entriesByName, current.startedMs);
    scaleOut.removeSettled();
    hasCompleteListing = true;
  }
}
