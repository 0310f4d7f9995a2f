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
  private static final int MAX_RETURN_COUNT = 100;

  /** How much of a value the names of a return may take. */
  private static final double VALUE_SHARE = 0.8;

  /** Quotes and comma around a name. */
  private static final int NAME_OVERHEAD_BYTES = 3;

  /** How a return stands. */
  private static final class Return {
    final String key;
    final ImmutableList<String> machines;
    boolean isCommitted;
    boolean isInFlight;

    /** It was asked for and not refused, so the machines may go at any time. */
    boolean possiblyApplied;

    long nextAttemptMs;
    final Backoff backoff;

    Return(String key, ImmutableList<String> machines, Backoff backoff) {
      this.key = key;
      this.machines = machines;
      this.backoff = backoff;
    }
  }

  private final ControllerContext context;
  private final LeaderElection election;
  private final MachineRegistry fleet;
  private final ProvisioningIntents intents;
  private final TokenBucket callBudget;
  private final Map<String, Return> returns = new LinkedHashMap<>();
  private final Set<String> pendingNames = new HashSet<>();
  private int lastRequestNumber;

  /**
   * @param callBudget the budget of calls to the cloud
   */
  ScaleInRequests(
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

  /** Decides on no more of the returns of a term that is over. */
  void reset() {
    returns.clear();
    pendingNames.clear();
    lastRequestNumber = 0;
  }

  /** Takes up a return that an earlier leader reserved, and may have asked for. */
  void restore(String key, StoredRecord.ScaleInIntent record) {
    Return machineReturn = new Return(key, record.machines(), newBackoff());
    machineReturn.isCommitted = true;
    machineReturn.possiblyApplied = true;
    returns.put(key, machineReturn);
    record.machines().forEach(name -> fleet.getOrRegister(name).lifecycle().beginScaleIn());
  }

  /** Reserves returns that were decided, and asks for those whose reservation stands. */
  void tick() {
    keepRecovered();
    if (!pendingNames.isEmpty()) {
      ImmutableList<String> batch = nextBatch();
      batch.forEach(pendingNames::remove);
      String key =
          StoreKeys.RETURN_PREFIX + "t" + election.currentTerm() + "-" + ++lastRequestNumber;
      Return machineReturn = new Return(key, batch, newBackoff());
      returns.put(key, machineReturn);
      intents.reserve(
          key,
          new StoredRecord.ScaleInIntent(batch),
          () -> returns.get(key) == machineReturn,
          () -> machineReturn.isCommitted = true,
          () -> {
            returns.remove(key);
            pendingNames.addAll(batch);
          });
    }
    for (Return machineReturn : List.copyOf(returns.values())) {
      if (machineReturn.isCommitted
          && !machineReturn.isInFlight
          && context.nowMs >= machineReturn.nextAttemptMs
          && callBudget.tryTake(1, context.nowMs)) {
        send(machineReturn);
      }
    }
  }

  /** Gives a machine back because nothing is heard of it; it is kept if that ends in time. */
  void returnSilent(MachineState machine, String reason) {
    machine.lifecycle().recordUnreachableScaleIn(context.nowMs);
    returnMachine(machine, reason);
  }

  /**
   * Keeps machines that are heard again before the cloud took their return: while it refuses all
   * calls, machines that had only hung once stood unused until it answered, and were lost then.
   */
  private void keepRecovered() {
    pendingNames.removeIf(this::keepIfRecovered);
    for (Return machineReturn : List.copyOf(returns.values())) {
      if (!machineReturn.isCommitted || machineReturn.isInFlight || machineReturn.possiblyApplied) {
        continue;
      }
      List<String> others = new ArrayList<>(machineReturn.machines);
      if (others.removeIf(this::keepIfRecovered)) {
        returns.remove(machineReturn.key);
        intents.remove(machineReturn.key);
        pendingNames.addAll(others);
      }
    }
  }

  private boolean keepIfRecovered(String name) {
    MachineState machine = fleet.get(name);
    if (machine == null
        || machine.lifecycle().scaledInUnreachableMs() == 0
        || machine.incarnation().lastHeartbeatMs() <= machine.lifecycle().scaledInUnreachableMs()) {
      return false;
    }
    LOG.info("keeping {}: it is heard again", name);
    machine.lifecycle().cancelScaleIn();
    return true;
  }

  void returnMachine(MachineState machine, String reason) {
    if (!machine.lifecycle().isScalingIn()) {
      LOG.info("returning {}: {}", machine.name(), reason);
      machine.lifecycle().beginScaleIn();
      pendingNames.add(machine.name());
    }
  }

  /** The machines of the next return, as many as it may name and its reservation may hold. */
  private ImmutableList<String> nextBatch() {
    double leftBytes = context.settings.safeValueKb() * 1024 * VALUE_SHARE;
    ImmutableList.Builder<String> batch = ImmutableList.builder();
    int count = 0;
    for (String name : pendingNames) {
      leftBytes -= name.length() + NAME_OVERHEAD_BYTES;
      if (count == MAX_RETURN_COUNT || count > 0 && leftBytes < 0) {
        break;
      }
      batch.add(name);
      count++;
    }
    return batch.build();
  }

  private void send(Return machineReturn) {
    machineReturn.isInFlight = true;
    context.call(
        call ->
            new Effect.ReturnMachines(
                call, machineReturn.machines, CloudProvisioner.callTimeoutMs(context)),
        reply -> {
          machineReturn.isInFlight = false;
          if (returns.get(machineReturn.key) != machineReturn) {
            return;
          }
          if (reply instanceof Reply.Returned) {
            returns.remove(machineReturn.key);
            for (String name : machineReturn.machines) {
              MachineState machine = fleet.get(name);
              if (machine != null) {
                fleet.remove(machine, "returned");
              }
            }
            intents.remove(machineReturn.key);
          } else {
            machineReturn.possiblyApplied |= reply instanceof Reply.Unanswered;
            machineReturn.nextAttemptMs =
                context.nowMs + machineReturn.backoff.nextPauseMs(context.random);
          }
        });
  }
}
