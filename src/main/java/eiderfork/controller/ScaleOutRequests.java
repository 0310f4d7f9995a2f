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
    final StoredRecord.ScaleOutIntent record;
    ImmutableList<String> machines;
    boolean isCommitted;
    boolean wasSent;
    boolean isInFlight;
    long nextAttemptMs;
    final Backoff backoff;

    Rent(StoredRecord.ScaleOutIntent record, Backoff backoff) {
      this.record = record;
      this.backoff = backoff;
    }
  }

  private final ControllerContext context;
  private final LeaderElection election;
  private final MachineRegistry fleet;
  private final ProvisioningIntents intents;
  private final TokenBucket callBudget;
  private final Map<String, Rent> rents = new LinkedHashMap<>();
  private final Map<CloudProvisioner.MachineKind, Long> outOfStockUntilMs = new HashMap<>();
  private final Map<CloudProvisioner.MachineKind, Backoff> outOfStockBackoffs = new HashMap<>();

  /** How many rents of a kind may be open at once, where the cloud has filled the ones before. */
  private final Map<CloudProvisioner.MachineKind, Integer> filledRents = new HashMap<>();

  private int lastRequestNumber;

  /**
   * @param callBudget the budget of calls to the cloud
   */
  ScaleOutRequests(
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

  private Backoff newBackoff() {
    return new Backoff(context.stepMs(), context.cloudListLagMs());
  }

  /** Forgets the rents of a term that is over. */
  void reset() {
    rents.clear();
    outOfStockUntilMs.clear();
    outOfStockBackoffs.clear();
    filledRents.clear();
    lastRequestNumber = 0;
  }

  /** Takes up a rent that an earlier leader reserved. */
  void restore(StoredRecord.ScaleOutIntent record) {
    Rent rent = new Rent(record, newBackoff());
    rent.isCommitted = true;
    rents.put(record.requestName(), rent);
  }

  /** Asks for the rents whose reservation stands, as far as the budget of calls goes. */
  void tick() {
    for (Rent rent : List.copyOf(rents.values())) {
      if (rent.isCommitted
          && rent.machines == null
          && !rent.isInFlight
          && context.nowMs >= rent.nextAttemptMs
          && callBudget.tryTake(1, context.nowMs)) {
        send(rent);
      }
    }
  }

  /** Rents whose machines are not known yet. */
  List<StoredRecord.ScaleOutIntent> openRents() {
    List<StoredRecord.ScaleOutIntent> open = new ArrayList<>();
    for (Rent rent : rents.values()) {
      if (rent.machines == null) {
        open.add(rent.record);
      }
    }
    return open;
  }

  /** Whether a rent is reserved that the cloud has not been asked for, for want of its turn. */
  boolean hasUnsentRents() {
    for (Rent rent : rents.values()) {
      if (!rent.wasSent) {
        return true;
      }
    }
    return false;
  }

  boolean isInStock(CloudProvisioner.MachineKind kind) {
    return outOfStockUntilMs.getOrDefault(kind, 0L) <= context.nowMs;
  }

  void rent(CloudProvisioner.MachineKind kind, int count) {
    String requestName = "t" + election.currentTerm() + "-" + ++lastRequestNumber;
    StoredRecord.ScaleOutIntent record =
        new StoredRecord.ScaleOutIntent(requestName, kind.type(), kind.zone(), kind.spot(), count);
    LOG.info("renting {} of {}", count, kind);
    Rent rent = new Rent(record, newBackoff());
    rents.put(requestName, rent);
    intents.reserve(
        StoreKeys.RENT_PREFIX + requestName,
        record,
        () -> rents.get(requestName) == rent,
        () -> rent.isCommitted = true,
        () -> rents.remove(requestName));
  }

  private void send(Rent rent) {
    rent.isInFlight = true;
    rent.wasSent = true;
    StoredRecord.ScaleOutIntent record = rent.record;
    CloudProvisioner.MachineKind kind =
        new CloudProvisioner.MachineKind(record.type(), record.zone(), record.spot());
    context.call(
        call -> new Effect.RentMachines(call, record, CloudProvisioner.callTimeoutMs(context)),
        reply -> {
          rent.isInFlight = false;
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
              if (!fleet.isRemoved(name)) {
                MachineState machine = fleet.getOrRegister(name);
                machine.lifecycle().onProvisioned(machine.lastHeartbeat() != null, context.nowMs);
                if (machine.spec() == null) {
                  machine.onProvisioned(kind, fleet.types().get(kind.type()));
                }
              }
            }
            if (rented.machines().size() < record.count()) {
              markOutOfStock(kind);
            } else {
              outOfStockBackoffs.remove(kind);
              filledRents.merge(kind, 1, Integer::sum);
            }
          } else if (reply instanceof Reply.NoCapacity) {
            // No capacity, and nothing was rented: the reservation is over.
            markOutOfStock(kind);
            rents.remove(record.requestName());
            intents.remove(StoreKeys.RENT_PREFIX + record.requestName());
          } else if (reply instanceof Reply.Refused refused && refused.status() == 400) {
            LOG.error("the cloud calls the rent {} malformed", record);
            markOutOfStock(kind);
            rents.remove(record.requestName());
            intents.remove(StoreKeys.RENT_PREFIX + record.requestName());
          } else {
            rent.nextAttemptMs = context.nowMs + rent.backoff.nextPauseMs(context.random);
          }
        });
  }

  /**
   * How many rents of this kind may be asked for together: one at first and one more for each that
   * was filled, since calls for what the cloud may not have take the turns of others; no more than
   * the rate lets through in a step.
   */
  int maxConcurrentRents(CloudProvisioner.MachineKind kind) {
    int most = (int) Math.max(1, context.settings.cloudLimits().requestsPerS() * context.stepS());
    return Math.min(most, 1 + filledRents.getOrDefault(kind, 0));
  }

  private void markOutOfStock(CloudProvisioner.MachineKind kind) {
    filledRents.remove(kind);
    Backoff backoff =
        outOfStockBackoffs.computeIfAbsent(
            kind, k -> new Backoff(context.cloudListLagMs() * 2, context.cloudListLagMs() * 8));
    outOfStockUntilMs.put(kind, context.nowMs + backoff.nextPauseMs(context.random));
  }

  /** A rent's key may go once its machines would be found without it. */
  void removeSettled() {
    for (Rent rent : List.copyOf(rents.values())) {
      if (rent.machines == null) {
        continue;
      }
      boolean found = true;
      for (String name : rent.machines) {
        MachineState machine = fleet.get(name);
        found &= machine == null || machine.lifecycle().isListedByCloud();
      }
      if (found) {
        rents.remove(rent.record.requestName());
        intents.remove(StoreKeys.RENT_PREFIX + rent.record.requestName());
      }
    }
  }
}
