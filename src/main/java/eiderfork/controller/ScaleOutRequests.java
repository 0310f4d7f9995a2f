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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines under reservations of their own. A rent without an answer is asked for again under
 * the same name until it is settled.
 */
final class ScaleOutRequests {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);

  /** How a rent stands. */
  private static final class Rent {
    final StoredRecord.Rent record;
    ImmutableList<String> machines;
    boolean committed;
    boolean asked;
    boolean asking;
    long nextMs;
    final Backoff backoff;

    Rent(StoredRecord.Rent record, Backoff backoff) {
      this.record = record;
      this.backoff = backoff;
    }
  }

  private final ControllerContext context;
  private final LeaderElection term;
  private final MachineRegistry fleet;
  private final ProvisioningIntents reservations;
  private final TokenBucket calls;
  private final Map<String, Rent> rents = new LinkedHashMap<>();
  private final Map<CloudProvisioner.Kind, Long> emptyUntilMs = new HashMap<>();
  private final Map<CloudProvisioner.Kind, Backoff> emptyBackoff = new HashMap<>();

  /** How many rents of a kind may be open at once, where the cloud has filled the ones before. */
  private final Map<CloudProvisioner.Kind, Integer> atOnce = new HashMap<>();

  private int names;

  /**
   * @param calls the budget of calls to the cloud
   */
  ScaleOutRequests(
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

  /** Forgets the rents of a term that is over. */
  void clear() {
    rents.clear();
    emptyUntilMs.clear();
    emptyBackoff.clear();
    atOnce.clear();
    names = 0;
  }

  /** Takes up a rent that an earlier leader reserved. */
  void restore(StoredRecord.Rent record) {
    Rent rent = new Rent(record, newBackoff());
    rent.committed = true;
    rents.put(record.requestName(), rent);
  }

  /** Asks for the rents whose reservation stands, as far as the budget of calls goes. */
  void tick() {
    for (Rent rent : List.copyOf(rents.values())) {
      if (rent.committed
          && rent.machines == null
          && !rent.asking
          && context.nowMs >= rent.nextMs
          && calls.take(1, context.nowMs)) {
        ask(rent);
      }
    }
  }

  /** Rents whose machines are not known yet. */
  List<StoredRecord.Rent> openRents() {
    List<StoredRecord.Rent> open = new ArrayList<>();
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

  boolean inStock(CloudProvisioner.Kind kind) {
    return emptyUntilMs.getOrDefault(kind, 0L) <= context.nowMs;
  }

  void rent(CloudProvisioner.Kind kind, int count) {
    String requestName = "t" + term.number() + "-" + ++names;
    StoredRecord.Rent record =
        new StoredRecord.Rent(requestName, kind.type(), kind.zone(), kind.spot(), count);
    LOG.info("renting {} of {}", count, kind);
    Rent rent = new Rent(record, newBackoff());
    rents.put(requestName, rent);
    reservations.reserve(
        StoreKeys.RENT + requestName,
        record,
        () -> rents.get(requestName) == rent,
        () -> rent.committed = true,
        () -> rents.remove(requestName));
  }

  private void ask(Rent rent) {
    rent.asking = true;
    rent.asked = true;
    StoredRecord.Rent record = rent.record;
    CloudProvisioner.Kind kind =
        new CloudProvisioner.Kind(record.type(), record.zone(), record.spot());
    context.ask(
        call -> new Effect.AskRent(call, record, CloudProvisioner.timeoutMs(context)),
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
                MachineState m = fleet.known(name);
                m.booting = m.report() == null;
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
              atOnce.merge(kind, 1, Integer::sum);
            }
          } else if (reply instanceof Reply.NoCapacity) {
            // No capacity, and nothing was rented: the reservation is over.
            shortOf(kind);
            rents.remove(record.requestName());
            reservations.drop(StoreKeys.RENT + record.requestName());
          } else if (reply instanceof Reply.Refused refused && refused.status() == 400) {
            LOG.error("the cloud calls the rent {} malformed", record);
            shortOf(kind);
            rents.remove(record.requestName());
            reservations.drop(StoreKeys.RENT + record.requestName());
          } else {
            rent.nextMs = context.nowMs + rent.backoff.next(context.random);
          }
        });
  }

  /**
   * How many rents of this kind may be asked for together: one at first and one more for each that
   * was filled, since calls for what the cloud may not have take the turns of others; no more than
   * the rate lets through in a step.
   */
  int mostAtOnce(CloudProvisioner.Kind kind) {
    int most = (int) Math.max(1, context.settings.cloudLimits().rps() * context.stepS());
    return Math.min(most, 1 + atOnce.getOrDefault(kind, 0));
  }

  private void shortOf(CloudProvisioner.Kind kind) {
    atOnce.remove(kind);
    Backoff backoff =
        emptyBackoff.computeIfAbsent(
            kind, k -> new Backoff(context.listLagMs() * 2, context.listLagMs() * 8));
    emptyUntilMs.put(kind, context.nowMs + backoff.next(context.random));
  }

  /** A rent's key may go once its machines would be found without it. */
  void forgetSettled() {
    for (Rent rent : List.copyOf(rents.values())) {
      if (rent.machines == null) {
        continue;
      }
      boolean found = true;
      for (String name : rent.machines) {
        MachineState m = fleet.get(name);
        found &= m == null || m.listed;
      }
      if (found) {
        rents.remove(rent.record.requestName());
        reservations.drop(StoreKeys.RENT + rent.record.requestName());
      }
    }
  }
}
