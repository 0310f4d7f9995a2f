package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.model.HostEntry;
import eiderfork.model.Record;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

  /** The most machines that the protocol lets one return name. */
  private static final int RETURN_MOST = 100;

  /** How much of a value the names of a return may take. */
  private static final double VALUE_SHARE = 0.8;

  /** Quotes and comma around a name. */
  private static final int AROUND_NAME = 3;

  /** How a rent stands. */
  private static final class Rent {
    final Record.Rent record;
    ImmutableList<String> machines;
    boolean committed;
    boolean asked;
    boolean asking;
    long nextMs;
    final Backoff backoff;

    Rent(Record.Rent record, Backoff backoff) {
      this.record = record;
      this.backoff = backoff;
    }
  }

  private static final class Return {
    final String key;
    final ImmutableList<String> machines;
    boolean committed;
    boolean asking;

    /** It was asked for and not refused, so the machines may go at any time. */
    boolean maybeDone;

    long nextMs;
    final Backoff backoff;

    Return(String key, ImmutableList<String> machines, Backoff backoff) {
      this.key = key;
      this.machines = machines;
      this.backoff = backoff;
    }
  }

  /** A kind of machine that may be out of stock. */
  record Kind(String type, String zone, boolean spot) {}

  private final Context context;
  private final Term term;
  private final StateGate gate;
  private final Fleet fleet;
  private final TokenBucket bucket;
  private final Map<String, Rent> rents = new LinkedHashMap<>();
  private final Map<String, Return> returns = new LinkedHashMap<>();
  private final Map<Kind, Long> emptyUntilMs = new HashMap<>();
  private final Map<Kind, Backoff> emptyBackoff = new HashMap<>();
  private final Set<String> toReturn = new HashSet<>();
  private int names;
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
    bucket = new TokenBucket(rps, Math.max(1, rps * 2), context.nowMs);
    listBackoff = backoff();
    typesBackoff = backoff();
  }

  private Backoff backoff() {
    return new Backoff(context.stepMs(), context.listLagMs());
  }

  void clear() {
    rents.clear();
    returns.clear();
    toReturn.clear();
    emptyUntilMs.clear();
    emptyBackoff.clear();
    listing = false;
    listed = false;
    typesAsking = false;
    typesStored = false;
    listNextMs = 0;
    typesNextMs = 0;
    names = 0;
  }

  boolean listed() {
    return listed;
  }

  void restoreRent(Record.Rent record) {
    Rent rent = new Rent(record, backoff());
    rent.committed = true;
    rents.put(record.requestName(), rent);
  }

  void restoreReturn(String key, Record.Return record) {
    Return it = new Return(key, record.machines(), backoff());
    it.committed = true;
    it.maybeDone = true;
    returns.put(key, it);
    record.machines().forEach(name -> fleet.known(name).returning = true);
  }

  /** Rents whose machines are not known yet. */
  List<Record.Rent> openRents() {
    List<Record.Rent> open = new ArrayList<>();
    for (Rent rent : rents.values()) {
      if (rent.machines == null) {
        open.add(rent.record);
      }
    }
    return open;
  }

  /** Whether a rent is reserved that the cloud has not been asked for, for want of its turn. */
  boolean rentsWait() {
    for (Rent rent : rents.values()) {
      if (!rent.asked) {
        return true;
      }
    }
    return false;
  }

  boolean inStock(Kind kind) {
    return emptyUntilMs.getOrDefault(kind, 0L) <= context.nowMs;
  }

  void rent(Kind kind, int count) {
    String requestName = "t" + term.number() + "-" + ++names;
    Record.Rent record = new Record.Rent(requestName, kind.type(), kind.zone(), kind.spot(), count);
    LOG.info("renting {} of {}", count, kind);
    Rent rent = new Rent(record, backoff());
    rents.put(requestName, rent);
    reserve(
        Keys.RENT + requestName,
        record,
        () -> rents.get(requestName) == rent,
        () -> rent.committed = true,
        () -> rents.remove(requestName));
  }

  /** Gives a machine back because nothing is heard of it; it is kept if that ends in time. */
  void giveBackSilent(MachineEntry m, String why) {
    m.returnedSilentMs = context.nowMs;
    giveBack(m, why);
  }

  /**
   * Keeps machines that are heard again before the cloud took their return: while it refuses all
   * calls, machines that had only hung once stood unused until it answered, and were lost then.
   */
  private void keepRevived() {
    toReturn.removeIf(this::revive);
    for (Return it : List.copyOf(returns.values())) {
      if (!it.committed || it.asking || it.maybeDone) {
        continue;
      }
      List<String> others = new ArrayList<>(it.machines);
      if (others.removeIf(this::revive)) {
        returns.remove(it.key);
        drop(it.key);
        toReturn.addAll(others);
      }
    }
  }

  private boolean revive(String name) {
    MachineEntry m = fleet.get(name);
    if (m == null || m.returnedSilentMs == 0 || m.heardMs <= m.returnedSilentMs) {
      return false;
    }
    LOG.info("keeping {}: it is heard again", name);
    m.returning = false;
    m.returnedSilentMs = 0;
    return true;
  }

  void giveBack(MachineEntry m, String why) {
    if (!m.returning) {
      LOG.info("returning {}: {}", m.name, why);
      m.returning = true;
      toReturn.add(m.name);
    }
  }

  /** Writes a reservation; one that is left unanswered is repeated, since it may still apply. */
  private void reserve(
      String key,
      Record record,
      java.util.function.BooleanSupplier live,
      Runnable done,
      Runnable failed) {
    gate.send(
        new StateOp.Transact(
            ImmutableList.of(term.condition(), new StateOp.Condition(key, 0)),
            ImmutableList.of(StateOp.Change.put(key, record))),
        Urgency.FLEET,
        reply -> {
          if (!live.getAsBoolean() || !term.leading()) {
            return;
          }
          if (reply instanceof Reply.Committed) {
            done.run();
          } else if (reply instanceof Reply.Conflict conflict) {
            if (conflict.failed().contains(Keys.LEADER)) {
              term.conditionFailed();
            } else {
              // The key is this term's own: an earlier copy of this write has been applied.
              done.run();
            }
          } else if (reply instanceof Reply.Unanswered) {
            reserve(key, record, live, done, failed);
          } else {
            failed.run();
          }
        });
  }

  private void drop(String key) {
    gate.send(
        new StateOp.Transact(
            ImmutableList.of(term.condition()), ImmutableList.of(StateOp.Change.remove(key))),
        Urgency.CLEANUP,
        reply -> {
          if (reply instanceof Reply.Conflict) {
            term.conditionFailed();
          }
        });
  }

  void tick() {
    keepRevived();
    if (!toReturn.isEmpty()) {
      ImmutableList<String> batch = returnBatch();
      batch.forEach(toReturn::remove);
      String key = Keys.RETURN + "t" + term.number() + "-" + ++names;
      Return it = new Return(key, batch, backoff());
      returns.put(key, it);
      reserve(
          key,
          new Record.Return(batch),
          () -> returns.get(key) == it,
          () -> it.committed = true,
          () -> {
            returns.remove(key);
            toReturn.addAll(batch);
          });
    }
    for (Return it : List.copyOf(returns.values())) {
      if (it.committed && !it.asking && context.nowMs >= it.nextMs && take()) {
        ask(it);
      }
    }
    if (!typesAsking && context.nowMs >= typesNextMs && fleet.types().isEmpty() && take()) {
      askTypes();
    }
    for (Rent rent : List.copyOf(rents.values())) {
      if (rent.committed
          && rent.machines == null
          && !rent.asking
          && context.nowMs >= rent.nextMs
          && take()) {
        ask(rent);
      }
    }
    if (!listing && context.nowMs >= listNextMs && take()) {
      listing = true;
      list("", new LinkedHashMap<>(), context.nowMs);
    }
    if (!typesAsking && context.nowMs >= typesNextMs && take()) {
      askTypes();
    }
    forgetSettledRents();
  }

  /** The machines of the next return, as many as it may name and its reservation may hold. */
  private ImmutableList<String> returnBatch() {
    double leftBytes = context.settings.alwaysStorableKb() * 1024 * VALUE_SHARE;
    ImmutableList.Builder<String> batch = ImmutableList.builder();
    int count = 0;
    for (String name : toReturn) {
      leftBytes -= name.length() + AROUND_NAME;
      if (count == RETURN_MOST || count > 0 && leftBytes < 0) {
        break;
      }
      batch.add(name);
      count++;
    }
    return batch.build();
  }

  private boolean take() {
    return bucket.take(1, context.nowMs);
  }

  private long timeoutMs() {
    return context.stepMs() * TIMEOUT_STEPS;
  }

  private void ask(Return it) {
    it.asking = true;
    context.ask(
        call -> new Effect.AskReturn(call, it.machines, timeoutMs()),
        reply -> {
          it.asking = false;
          if (returns.get(it.key) != it) {
            return;
          }
          if (reply instanceof Reply.Returned) {
            returns.remove(it.key);
            for (String name : it.machines) {
              MachineEntry m = fleet.get(name);
              if (m != null) {
                fleet.remove(m, "returned");
              }
            }
            drop(it.key);
          } else {
            it.maybeDone |= reply instanceof Reply.Unanswered;
            it.nextMs = context.nowMs + it.backoff.next(context.random);
          }
        });
  }

  private void ask(Rent rent) {
    rent.asking = true;
    rent.asked = true;
    Record.Rent record = rent.record;
    Kind kind = new Kind(record.type(), record.zone(), record.spot());
    context.ask(
        call -> new Effect.AskRent(call, record, timeoutMs()),
        reply -> {
          rent.asking = false;
          if (rents.get(record.requestName()) != rent) {
            return;
          }
          if (reply instanceof Reply.Rented rented) {
            rent.machines = rented.machines();
            LOG.info(
                "rented {} of {} {}: {}",
                rented.machines().size(),
                record.count(),
                kind,
                rented.machines());
            for (String name : rented.machines()) {
              if (!fleet.isGone(name)) {
                MachineEntry m = fleet.known(name);
                m.booting = m.report == null;
                m.aliveMs = context.nowMs;
                if (m.machine == null) {
                  m.rentedAs(kind, fleet.types().get(kind.type()));
                }
              }
            }
            if (rented.machines().size() < record.count()) {
              shortOf(kind);
            } else {
              emptyBackoff.remove(kind);
            }
          } else if (reply instanceof Reply.NoCapacity) {
            // No capacity, and nothing was rented: the reservation is over.
            shortOf(kind);
            rents.remove(record.requestName());
            drop(Keys.RENT + record.requestName());
          } else if (reply instanceof Reply.Refused refused && refused.status() == 400) {
            LOG.error("the cloud calls the rent {} malformed", record);
            shortOf(kind);
            rents.remove(record.requestName());
            drop(Keys.RENT + record.requestName());
          } else {
            rent.nextMs = context.nowMs + rent.backoff.next(context.random);
          }
        });
  }

  private void shortOf(Kind kind) {
    Backoff backoff =
        emptyBackoff.computeIfAbsent(
            kind, k -> new Backoff(context.listLagMs() * 2, context.listLagMs() * 8));
    emptyUntilMs.put(kind, context.nowMs + backoff.next(context.random));
  }

  /** A rent's key may go once its machines would be found without it. */
  private void forgetSettledRents() {
    for (Rent rent : List.copyOf(rents.values())) {
      if (rent.machines == null) {
        continue;
      }
      boolean found = true;
      for (String name : rent.machines) {
        MachineEntry m = fleet.get(name);
        found &= m == null || m.listed;
      }
      if (found) {
        rents.remove(rent.record.requestName());
        drop(Keys.RENT + rent.record.requestName());
      }
    }
  }

  private void askTypes() {
    typesAsking = true;
    context.ask(
        call -> new Effect.AskTypes(call, timeoutMs()),
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
        call -> new Effect.AskHosts(call, after, timeoutMs()),
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
          listed = true;
        });
  }
}
