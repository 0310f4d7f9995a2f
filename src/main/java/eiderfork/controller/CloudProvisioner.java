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
  private static final double RATE_SHARE = 0.9;

  /** How long the cloud may take over a call, in steps. */
  private static final int TIMEOUT_STEPS = 5;

  /** Prices move slowly; they are read again after this many lags of the list. */
  private static final int TYPES_LAGS = 8;

  /** A list that is not whole after this many of its lags is begun anew. */
  private static final int LISTING_LAGS = 4;

  /** A kind of machine that may be out of stock. */
  record Kind(String type, String zone, boolean spot) {}

  private final ControllerContext context;
  private final LeaderElection term;
  private final StoreClient gate;
  private final MachineRegistry fleet;
  private final TokenBucket calls;
  private final ScaleOutRequests rents;
  private final ScaleInRequests returns;
  private long typesNextMs;
  private boolean typesAsking;
  private boolean typesStored;
  private long listNextMs;

  /** The list that is being read; null between lists. */
  private Listing listing;

  /** A page of the list was asked for and not answered. */
  private boolean pageAsked;

  private final Backoff listBackoff;
  private final Backoff typesBackoff;

  /** What was read of a list: it comes page by page, each a call within the cloud's rate. */
  private static final class Listing {
    final long startedMs;
    final Map<String, ListedMachine> entries = new LinkedHashMap<>();
    String last = "";

    Listing(long startedMs) {
      this.startedMs = startedMs;
    }
  }

  /** Whether a whole list has been taken in this term. */
  private boolean listed;

  CloudProvisioner(
      ControllerContext context, LeaderElection term, StoreClient gate, MachineRegistry fleet) {
    this.context = context;
    this.term = term;
    this.gate = gate;
    this.fleet = fleet;
    double rps = context.settings.cloudLimits().rps() * RATE_SHARE;
    calls = new TokenBucket(rps, Math.max(1, rps * 2), context.nowMs);
    ProvisioningIntents reservations = new ProvisioningIntents(term, gate);
    rents = new ScaleOutRequests(context, term, fleet, reservations, calls);
    returns = new ScaleInRequests(context, term, fleet, reservations, calls);
    listBackoff = new Backoff(context.stepMs(), context.listLagMs());
    typesBackoff = new Backoff(context.stepMs(), context.listLagMs());
  }

  void clear() {
    rents.clear();
    returns.clear();
    listing = null;
    pageAsked = false;
    listed = false;
    typesAsking = false;
    typesStored = false;
    listNextMs = 0;
    typesNextMs = 0;
  }

  boolean listed() {
    return listed;
  }

  /** What is rented. */
  ScaleOutRequests rents() {
    return rents;
  }

  /** What is given back. */
  ScaleInRequests returns() {
    return returns;
  }

  /** Makes the calls that are due: returns first, and a list before prices are read again. */
  void tick() {
    returns.tick();
    if (fleet.types().isEmpty()) {
      askTypesIfDue();
    }
    rents.tick();
    if (!pageAsked && context.nowMs >= listNextMs && take()) {
      askPage();
    }
    askTypesIfDue();
  }

  private void askTypesIfDue() {
    if (!typesAsking && context.nowMs >= typesNextMs && take()) {
      askTypes();
    }
  }

  private boolean take() {
    return calls.take(1, context.nowMs);
  }

  /** How long a call to the cloud may take. */
  static long timeoutMs(ControllerContext context) {
    return context.stepMs() * TIMEOUT_STEPS;
  }

  private void askTypes() {
    typesAsking = true;
    context.ask(
        call -> new Effect.AskTypes(call, timeoutMs(context)),
        reply -> {
          typesAsking = false;
          if (reply instanceof Reply.Types types) {
            typesBackoff.reset();
            boolean first = fleet.types().isEmpty();
            fleet.types(types.types());
            typesNextMs = context.nowMs + TYPES_LAGS * context.listLagMs();
            if (first || !typesStored) {
              storeTypes();
            }
          } else {
            typesNextMs = context.nowMs + typesBackoff.next(context.random);
          }
        });
  }

  private void storeTypes() {
    typesStored = true;
    gate.send(
        new StoreRequest.Transact(
            ImmutableList.of(term.condition()),
            ImmutableList.of(StoreRequest.Change.put(StoreKeys.TYPES, fleet.typesRecord()))),
        RequestPriority.CLEANUP,
        reply -> typesStored = reply instanceof Reply.Committed);
  }

  /** Asks for the next page; a list that takes too long is begun anew. */
  private void askPage() {
    if (listing == null || context.nowMs - listing.startedMs > LISTING_LAGS * context.listLagMs()) {
      listing = new Listing(context.nowMs);
    }
    Listing of = listing;
    pageAsked = true;
    context.ask(
        call -> new Effect.AskHosts(call, of.last, timeoutMs(context)),
        reply -> {
          if (listing == of) {
            pageAsked = false;
            pageAnswered(of, reply);
          }
        });
  }

  private void pageAnswered(Listing of, Reply reply) {
    if (!(reply instanceof Reply.Hosts hosts)) {
      // What was read stays good: a list says less the longer it takes, and nothing wrong.
      listNextMs = context.nowMs + listBackoff.next(context.random);
      return;
    }
    String before = of.last;
    for (ListedMachine entry : hosts.entries()) {
      of.entries.put(entry.machine().name(), entry);
      of.last = entry.machine().name();
    }
    if (hosts.more() && !of.last.equals(before)) {
      return;
    }
    listing = null;
    listBackoff.reset();
    listNextMs = context.nowMs + context.listLagMs() / 2;
    fleet.listing(of.entries, of.startedMs);
    rents.forgetSettled();
    listed = true;
  }
}
