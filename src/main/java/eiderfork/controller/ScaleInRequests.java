package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Gives machines back to the cloud, under reservations of their own. */
final class ScaleInRequests {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleInRequests.class);

  /** The most machines that the protocol lets one return name. */
  private static final int RETURN_MOST = 100;

  /** How much of a value the names of a return may take. */
  private static final double VALUE_SHARE = 0.8;

  /** Quotes and comma around a name. */
  private static final int AROUND_NAME = 3;

  /** How a return stands. */
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

  private final ControllerContext context;
  private final LeaderElection term;
  private final MachineRegistry fleet;
  private final ProvisioningIntents reservations;
  private final TokenBucket calls;
  private final Map<String, Return> returns = new LinkedHashMap<>();
  private final Set<String> toReturn = new HashSet<>();
  private int names;

  /**
   * @param calls the budget of calls to the cloud
   */
  ScaleInRequests(
      ControllerContext context,
      LeaderElection term,
      MachineRegistry fleet,
      ProvisioningIntents reservations,
      TokenBucket calls) {
    this.context = context;
    this.term = term;
    this.fleet = fleet;
    this.reservations = reservations;
    this.calls = calls;
  }

  private Backoff newBackoff() {
    return new Backoff(context.stepMs(), context.listLagMs());
  }

  /** Decides on no more of the returns of a term that is over. */
  void clear() {
    returns.clear();
    toReturn.clear();
    names = 0;
  }

  /** Takes up a return that an earlier leader reserved, and may have asked for. */
  void restore(String key, StoredRecord.Return record) {
    Return it = new Return(key, record.machines(), newBackoff());
    it.committed = true;
    it.maybeDone = true;
    returns.put(key, it);
    record.machines().forEach(name -> fleet.known(name).returning = true);
  }

  /** Reserves returns that were decided, and asks for those whose reservation stands. */
  void tick() {
    keepRevived();
    if (!toReturn.isEmpty()) {
      ImmutableList<String> batch = returnBatch();
      batch.forEach(toReturn::remove);
      String key = StoreKeys.RETURN + "t" + term.number() + "-" + ++names;
      Return it = new Return(key, batch, newBackoff());
      returns.put(key, it);
      reservations.reserve(
          key,
          new StoredRecord.Return(batch),
          () -> returns.get(key) == it,
          () -> it.committed = true,
          () -> {
            returns.remove(key);
            toReturn.addAll(batch);
          });
    }
    for (Return it : List.copyOf(returns.values())) {
      if (it.committed
          && !it.asking
          && context.nowMs >= it.nextMs
          && calls.take(1, context.nowMs)) {
        ask(it);
      }
    }
  }

  /** Gives a machine back because nothing is heard of it; it is kept if that ends in time. */
  void giveBackSilent(MachineState m, String why) {
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
        reservations.drop(it.key);
        toReturn.addAll(others);
      }
    }
  }

  private boolean revive(String name) {
    MachineState m = fleet.get(name);
    if (m == null || m.returnedSilentMs == 0 || m.session.heardMs() <= m.returnedSilentMs) {
      return false;
    }
    LOG.info("keeping {}: it is heard again", name);
    m.returning = false;
    m.returnedSilentMs = 0;
    return true;
  }

  void giveBack(MachineState m, String why) {
    if (!m.returning) {
      LOG.info("returning {}: {}", m.name, why);
      m.returning = true;
      toReturn.add(m.name);
    }
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

  private void ask(Return it) {
    it.asking = true;
    context.ask(
        call -> new Effect.AskReturn(call, it.machines, CloudProvisioner.timeoutMs(context)),
        reply -> {
          it.asking = false;
          if (returns.get(it.key) != it) {
            return;
          }
          if (reply instanceof Reply.Returned) {
            returns.remove(it.key);
            for (String name : it.machines) {
              MachineState m = fleet.get(name);
              if (m != null) {
                fleet.remove(m, "returned");
              }
            }
            reservations.drop(it.key);
          } else {
            it.maybeDone |= reply instanceof Reply.Unanswered;
            it.nextMs = context.nowMs + it.backoff.next(context.random);
          }
        });
  }
}
