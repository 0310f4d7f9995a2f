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
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The machines to return to the cloud, and the calls that return them. */
public final class ScaleInRequests extends ProvisioningRequests<ScaleInRequests.Return> {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleInRequests.class);

  /** The most machines that the protocol lets one call return. */
  private static final int MAX_RETURN_COUNT = 100;

  /** The share of a stored value that the names of an intent may take. */
  private static final double VALUE_SHARE = 0.8;

  /** Quotes and comma around a name. */
  private static final int NAME_OVERHEAD_BYTES = 3;

  private static final int BYTES_PER_KB = 1024;

  /** Machines that are to be returned by a later call. */
  private final Set<String> pendingNames = new HashSet<>();

  ScaleInRequests(
      ControllerContext context,
      LeaderElection election,
      MachineRegistry fleet,
      ProvisioningIntents intents,
      TokenBucket callBudget) {
    super(context, election, fleet, intents, callBudget);
  }

  /** The return of several machines. */
  static final class Return extends ProvisioningRequest {
    private final ImmutableList<String> machineNames;

    /** A call was made and not refused, so the machines may be gone at any time. */
    private boolean possiblyApplied;

    private Return(String key, ImmutableList<String> machineNames, Backoff backoff) {
      super(key, backoff);
      this.machineNames = machineNames;
    }

    private boolean canBeRevoked() {
      return isCommitted() && !isInFlight() && !possiblyApplied;
    }
  }

  @Override
  void reset() {
    super.reset();
    pendingNames.clear();
  }

  /** Takes up a return whose intent an earlier leader stored, and which it may have called for. */
  public void restore(String key, StoredRecord.ScaleInIntent intent) {
    Return request = new Return(key, intent.machines(), newBackoff());
    request.possiblyApplied = true;
    restore(request);
    intent.machines().forEach(name -> fleet.getOrRegister(name).lifecycle().beginScaleIn());
  }

  /** Stores intents for what was decided, and makes the calls that are due. */
  void tick() {
    keepRecovered();
    if (!pendingNames.isEmpty()) {
      submitNextBatch();
    }
    sendDue();
  }

  private void submitNextBatch() {
    ImmutableList<String> batch = nextBatch();
    batch.forEach(pendingNames::remove);
    String key = StoreKeys.RETURN_PREFIX + nextRequestName();
    submit(new Return(key, batch, newBackoff()), new StoredRecord.ScaleInIntent(batch));
  }

  @Override
  void onIntentFailed(Return request) {
    pendingNames.addAll(request.machineNames);
  }

  /** Returns a machine that sends no heartbeats; it is kept if it recovers before the call. */
  void returnSilent(MachineState machine, ScaleInReason reason) {
    machine.lifecycle().recordUnreachableScaleIn(context.nowMs());
    returnMachine(machine, reason);
  }

  /** Returns a machine. */
  void returnMachine(MachineState machine, ScaleInReason reason) {
    if (!machine.lifecycle().isScalingIn()) {
      LOG.info("scale-in-decided machine={} reason={}", machine.name(), reason);
      machine.lifecycle().beginScaleIn();
      pendingNames.add(machine.name());
    }
  }

  /**
   * Keeps machines that sent a heartbeat before the cloud was called for their return: while it
   * refuses all calls, a machine that only hung for a moment is of use again.
   */
  private void keepRecovered() {
    pendingNames.removeIf(this::keepIfRecovered);
    for (Return request : openRequests()) {
      if (!request.canBeRevoked()) {
        continue;
      }
      List<String> others = new ArrayList<>(request.machineNames);
      if (others.removeIf(this::keepIfRecovered)) {
        close(request);
        pendingNames.addAll(others);
      }
    }
  }

  private boolean keepIfRecovered(String name) {
    MachineState machine = fleet.get(name);
    if (machine == null
        || machine.lifecycle().unreachableScaleInMs() == 0
        || machine.incarnation().lastHeartbeatMs() <= machine.lifecycle().unreachableScaleInMs()) {
      return false;
    }
    LOG.info("scale-in-revoked machine={} reason=heartbeats-resumed", name);
    machine.lifecycle().cancelScaleIn();
    return true;
  }

  /** The machines of the next return, as many as a call may name and an intent may hold. */
  private ImmutableList<String> nextBatch() {
    double leftBytes = context.settings.safeValueKb() * BYTES_PER_KB * VALUE_SHARE;
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

  @Override
  Effect.Call toCall(long callId, Return request) {
    return new Effect.ReturnMachines(
        callId, request.machineNames, CloudProvisioner.callTimeoutMs(context));
  }

  @Override
  void onReply(Return request, Reply reply) {
    if (!(reply instanceof Reply.Returned)) {
      request.possiblyApplied |= reply instanceof Reply.Unanswered;
      request.scheduleRetry(context.nowMs(), context.random);
      return;
    }
    for (String name : request.machineNames) {
      MachineState machine = fleet.get(name);
      if (machine != null) {
        fleet.remove(machine, "returned");
      }
    }
    close(request);
  }
}
