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

/** The machines to return to the cloud, and the requests that return them. */
public final class ScaleInRequests extends ProvisioningRequests<ScaleInRequests.Return> {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleInRequests.class);

  /** The maximum number of machines that the cloud protocol allows in one return call. */
  private static final int MAX_MACHINES_PER_RETURN = 100;

  /** The maximum share of the size limit of a stored value that the names of an intent may use. */
  private static final double MAX_INTENT_SIZE_SHARE = 0.8;

  /** The size of the quotes and the comma around a name. */
  private static final int NAME_OVERHEAD_BYTES = 3;

  private static final int BYTES_PER_KB = 1024;

  /** The machines that are to be returned and not yet part of a request. */
  private final Set<String> pendingNames = new HashSet<>();

  ScaleInRequests(
      ControllerContext context,
      LeaderElection election,
      MachineRegistry fleet,
      ProvisioningIntents intents,
      TokenBucket callBudget) {
    super(context, election, fleet, intents, callBudget);
  }

  /** A request that returns several machines. */
  static final class Return extends ProvisioningRequest {
    private final ImmutableList<String> machineNames;

    /** True if a call may have been accepted, so that the machines may disappear at any time. */
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

  /** Resumes a return whose intent an earlier leader stored, and whose call it may have made. */
  public void restore(String key, StoredRecord.ScaleInIntent intent) {
    Return request = new Return(key, intent.machines(), newBackoff());
    request.possiblyApplied = true;
    restore(request);
    intent.machines().forEach(name -> fleet.getOrRegister(name).lifecycle().beginScaleIn());
  }

  /** Stores an intent for the next batch of machines, and makes the calls that are due. */
  void tick() {
    revokeRecovered();
    if (!pendingNames.isEmpty()) {
      submitNextBatch();
    }
    sendDue();
  }

  private void submitNextBatch() {
    ImmutableList<String> batch = nextBatch();
    batch.forEach(pendingNames::remove);
    String key = StoreKeys.SCALE_IN_INTENT_PREFIX + nextRequestName();
    submit(new Return(key, batch, newBackoff()), new StoredRecord.ScaleInIntent(batch));
  }

  @Override
  void onIntentFailed(Return request) {
    pendingNames.addAll(request.machineNames);
  }

  /** Returns an unreachable machine to the cloud unless its heartbeats resume before the call. */
  void returnUnreachable(MachineState machine, ScaleInReason reason) {
    machine.lifecycle().recordUnreachableScaleIn(context.nowMs());
    returnMachine(machine, reason);
  }

  /** Returns a machine to the cloud. */
  void returnMachine(MachineState machine, ScaleInReason reason) {
    if (!machine.lifecycle().isScalingIn()) {
      LOG.info("scale-in-decided machine={} reason={}", machine.name(), reason);
      machine.lifecycle().beginScaleIn();
      pendingNames.add(machine.name());
    }
  }

  /**
   * Revokes the return of unreachable machines whose heartbeats resumed before the cloud accepted
   * the call. While the cloud refuses all calls, a machine that only hung for a moment becomes
   * usable again.
   */
  private void revokeRecovered() {
    pendingNames.removeIf(this::revokeIfRecovered);
    for (Return request : openRequests()) {
      if (!request.canBeRevoked()) {
        continue;
      }
      List<String> remainingNames = new ArrayList<>(request.machineNames);
      if (remainingNames.removeIf(this::revokeIfRecovered)) {
        close(request);
        pendingNames.addAll(remainingNames);
      }
    }
  }

  private boolean revokeIfRecovered(String name) {
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

  /**
   * Returns the machines of the next request, up to the limits of a call and of a stored intent.
   */
  private ImmutableList<String> nextBatch() {
    double remainingBytes = context.settings.safeValueKb() * BYTES_PER_KB * MAX_INTENT_SIZE_SHARE;
    ImmutableList.Builder<String> batch = ImmutableList.builder();
    int count = 0;
    for (String name : pendingNames) {
      remainingBytes -= name.length() + NAME_OVERHEAD_BYTES;
      if (count == MAX_MACHINES_PER_RETURN || count > 0 && remainingBytes < 0) {
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
