package eiderfork.controller.autoscaling;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.MachineKind;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The requests that rent machines, and the kinds of machine that are out of stock. */
public final class ScaleOutRequests extends ProvisioningRequests<ScaleOutRequests.Rent> {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);

  /**
   * The first and the maximum backoff delay for a kind out of stock, in lags of the cloud's list.
   */
  private static final int FIRST_OUT_OF_STOCK_LAGS = 2;

  private static final int MAX_OUT_OF_STOCK_LAGS = 8;

  private final Map<MachineKind, Long> outOfStockUntilMs = new HashMap<>();
  private final Map<MachineKind, Backoff> outOfStockBackoffs = new HashMap<>();

  /** The number of rents filled completely since the kind was last out of stock. */
  private final Map<MachineKind, Integer> filledRentCounts = new HashMap<>();

  ScaleOutRequests(
      ControllerContext context,
      LeaderElection election,
      MachineRegistry fleet,
      ProvisioningIntents intents,
      TokenBucket callBudget) {
    super(context, election, fleet, intents, callBudget);
  }

  /** A request to rent machines; it stays open until the cloud's list contains them. */
  static final class Rent extends ProvisioningRequest {
    private final StoredRecord.ScaleOutIntent intent;

    /** Null until the cloud has replied. */
    private ImmutableList<String> machineNames;

    private Rent(StoredRecord.ScaleOutIntent intent, Backoff backoff) {
      super(StoreKeys.SCALE_OUT_INTENT_PREFIX + intent.requestName(), backoff);
      this.intent = intent;
    }

    private MachineKind kind() {
      return new MachineKind(intent.type(), intent.zone(), intent.spot());
    }

    private boolean isAnswered() {
      return machineNames != null;
    }

    @Override
    boolean isDue(long nowMs) {
      return !isAnswered() && super.isDue(nowMs);
    }
  }

  @Override
  void reset() {
    super.reset();
    outOfStockUntilMs.clear();
    outOfStockBackoffs.clear();
    filledRentCounts.clear();
  }

  /** Resumes a rent whose intent an earlier leader stored. */
  public void restore(StoredRecord.ScaleOutIntent intent) {
    restore(new Rent(intent, newBackoff()));
  }

  /** Makes the calls that are due. */
  public void tick() {
    sendDue();
  }

  /** Returns the intents of the rents whose machines are not known yet. */
  List<StoredRecord.ScaleOutIntent> openRents() {
    List<StoredRecord.ScaleOutIntent> open = new ArrayList<>();
    for (Rent rent : openRequests()) {
      if (!rent.isAnswered()) {
        open.add(rent.intent);
      }
    }
    return open;
  }

  /** Returns whether there is a rent for which no call has been made yet. */
  boolean hasUnsentRents() {
    return openRequests().stream().anyMatch(rent -> !rent.hasBeenSent());
  }

  /** Returns whether this kind may be in stock. */
  boolean isInStock(MachineKind kind) {
    return outOfStockUntilMs.getOrDefault(kind, 0L) <= context.nowMs();
  }

  /** Rents {@code count} machines of a kind. */
  public void rent(MachineKind kind, int count) {
    StoredRecord.ScaleOutIntent intent =
        new StoredRecord.ScaleOutIntent(
            nextRequestName(), kind.type(), kind.zone(), kind.spot(), count);
    LOG.info(
        "scale-out-decided request={} type={} zone={} spot={} machines={}",
        intent.requestName(),
        kind.type(),
        kind.zone(),
        kind.spot(),
        count);
    submit(new Rent(intent, newBackoff()), intent);
  }

  @Override
  Effect.Call toCall(long callId, Rent rent) {
    return new Effect.RentMachines(callId, rent.intent, CloudProvisioner.callTimeoutMs(context));
  }

  @Override
  void onReply(Rent rent, Reply reply) {
    if (reply instanceof Reply.Rented rented) {
      onRented(rent, rented.machines());
    } else if (reply instanceof Reply.NoCapacity) {
      // Nothing was rented, so the intent is settled.
      markOutOfStock(rent.kind());
      close(rent);
    } else if (reply instanceof Reply.Refused refused && refused.isMalformed()) {
      LOG.error("scale-out-malformed intent={}", rent.intent);
      markOutOfStock(rent.kind());
      close(rent);
    } else {
      rent.scheduleRetry(context.nowMs(), context.random);
    }
  }

  private void onRented(Rent rent, ImmutableList<String> machineNames) {
    rent.machineNames = machineNames;
    LOG.info(
        "scaled-out request={} type={} zone={} spot={} wanted={} machines={}",
        rent.intent.requestName(),
        rent.intent.type(),
        rent.intent.zone(),
        rent.intent.spot(),
        rent.intent.count(),
        machineNames);
    machineNames.forEach(name -> register(name, rent.kind()));
    if (machineNames.size() < rent.intent.count()) {
      markOutOfStock(rent.kind());
    } else {
      outOfStockBackoffs.remove(rent.kind());
      filledRentCounts.merge(rent.kind(), 1, Integer::sum);
    }
  }

  private void register(String name, MachineKind kind) {
    if (fleet.isRemoved(name)) {
      return;
    }
    MachineState machine = fleet.getOrRegister(name);
    machine.lifecycle().onProvisioned(machine.lastHeartbeat() != null, context.nowMs());
    if (machine.spec() == null) {
      machine.onProvisioned(kind, fleet.types().get(kind.type()));
    }
  }

  /**
   * Returns the maximum number of concurrent rents of this kind. It starts at one and grows by one
   * for each filled rent, since calls for a kind that is out of stock use up the rate limit. It
   * never exceeds the number of calls that the rate limit allows in a step.
   */
  public int maxConcurrentRents(MachineKind kind) {
    double callsPerStep = context.settings.cloudLimits().requestsPerS() * context.stepS();
    int max = (int) Math.max(1, callsPerStep);
    return Math.min(max, 1 + filledRentCounts.getOrDefault(kind, 0));
  }

  private void markOutOfStock(MachineKind kind) {
    filledRentCounts.remove(kind);
    Backoff backoff = outOfStockBackoffs.computeIfAbsent(kind, k -> newOutOfStockBackoff());
    outOfStockUntilMs.put(kind, context.nowMs() + backoff.nextPauseMs(context.random));
  }

  private Backoff newOutOfStockBackoff() {
    return new Backoff(
        context.cloudListLagMs() * FIRST_OUT_OF_STOCK_LAGS,
        context.cloudListLagMs() * MAX_OUT_OF_STOCK_LAGS);
  }

  /** Closes the rents whose machines a new leader would find in the cloud's list. */
  void removeSettled() {
    for (Rent rent : openRequests()) {
      if (rent.isAnswered() && rent.machineNames.stream().allMatch(this::isListedOrGone)) {
        close(rent);
      }
    }
  }

  private boolean isListedOrGone(String name) {
    MachineState machine = fleet.get(name);
    return machine == null || machine.lifecycle().isListedByCloud();
  }
}
