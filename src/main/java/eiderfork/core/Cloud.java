package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.core.limits.Backoff;
import eiderfork.core.limits.TokenBucket;
import eiderfork.core.message.Effect;
import eiderfork.core.message.Keys;
import eiderfork.core.message.Reply;
import eiderfork.core.message.StateOp;
import eiderfork.model.HostEntry;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's dealings with the cloud. Every rent and return stands in the state service before it
 * is asked for; one without an answer is asked for again under the same name until it is settled.
 */
final class Cloud {
  private static final Logger LOG = LoggerFactory.getLogger(Cloud.class);

  /** The share of the cloud's limit that is used, so that a clock's drift never exceeds it. */
  private static final double RATE_SHARE = 0.9;

  /** How long the cloud may take over a call, in steps. */
  private static final int TIMEOUT_STEPS = 5;

  /** Prices move slowly; they are read again after this many lags of the list. */
  private static final int TYPES_LAGS = 8;

  /** A kind of machine that may be out of stock. */
  record Kind(String type, String zone, boolean spot) {}

  private final Context context;
  private final Term term;
  private final StateGate gate;
  private final Fleet fleet;
  private final TokenBucket calls;
  private final MachineRents rents;
  private final MachineReturns returns;
  private long typesNextMs;
  private boolean typesAsking;
  private boolean typesStored;
  private long listNextMs;
  private boolean listing;
  private final Backoff listBackoff;
  private final Backoff typesBackoff;

  /** Whether a whole list has been taken in this term. */
  private boolean listed;

  Cloud(Context context, Term term, StateGate gate, Fleet fleet) {
    this.context = context;
    this.term = term;
    this.gate = gate;
    this.fleet = fleet;
    double rps = context.settings.cloudLimits().rps() * RATE_SHARE;
    calls = new TokenBucket(rps, Math.max(1, rps * 2), context.nowMs);
    CloudReservations reservations = new CloudReservations(term, gate);
    rents = new MachineRents(context, term, fleet, reservations, calls);
    returns = new MachineReturns(context, term, fleet, reservations, calls);
    listBackoff = new Backoff(context.stepMs(), context.listLagMs());
    typesBackoff = new Backoff(context.stepMs(), context.listLagMs());
  }

  void clear() {
    rents.clear();
    returns.clear();
    listing = false;
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
  MachineRents rents() {
    return rents;
  }

  /** What is given back. */
  MachineReturns returns() {
    return returns;
  }

  /** Makes the calls that are due: returns first, and a list before prices are read again. */
  void tick() {
    returns.tick();
    if (fleet.types().isEmpty()) {
      askTypesIfDue();
    }
    rents.tick();
    if (!listing && context.nowMs >= listNextMs && take()) {
      listing = true;
      list("", new LinkedHashMap<>(), context.nowMs);
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
  static long timeoutMs(Context context) {
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
        new StateOp.Transact(
            ImmutableList.of(term.condition()),
            ImmutableList.of(StateOp.Change.put(Keys.TYPES, fleet.typesRecord()))),
        Urgency.CLEANUP,
        reply -> typesStored = reply instanceof Reply.Committed);
  }

  private void list(String after, Map<String, HostEntry> entries, long startedMs) {
    long number = term.number();
    context.ask(
        call -> new Effect.AskHosts(call, after, timeoutMs(context)),
        reply -> {
          if (!term.leading() || term.number() != number) {
            return;
          }
          if (!(reply instanceof Reply.Hosts hosts)) {
            listing = false;
            listNextMs = context.nowMs + listBackoff.next(context.random);
            return;
          }
          String last = after;
          for (HostEntry entry : hosts.entries()) {
            entries.put(entry.machine().name(), entry);
            last = entry.machine().name();
          }
          if (hosts.more() && !last.equals(after)) {
            list(last, entries, startedMs);
            return;
          }
          listing = false;
          listBackoff.reset();
          listNextMs = context.nowMs + context.listLagMs() / 2;
          fleet.listing(entries, startedMs);
          rents.forgetSettled();
          listed = true;
        });
  }
}
