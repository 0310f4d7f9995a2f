package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.StoreClient;

/** The leader's calls to the cloud, all within one rate limit. */
public final class CloudProvisioner {
  /** The share of the cloud's rate limit that is used, as clocks may differ. */
  private static final double CALL_RATE_SHARE = 0.9;

  /** The calls that may be made at once after a pause, in seconds of the rate. */
  private static final double BURST_S = 2;

  /** How long the cloud may take over a call, in steps. */
  private static final int CALL_TIMEOUT_STEPS = 5;

  private final MachineRegistry fleet;
  private final ScaleOutRequests scaleOut;
  private final ScaleInRequests scaleIn;
  private final MachineTypePoller types;
  private final MachineListPoller machineList;

  /** Makes a provisioner without open requests. */
  public CloudProvisioner(
      ControllerContext context,
      LeaderElection election,
      StoreClient store,
      MachineRegistry fleet) {
    this.fleet = fleet;
    double callsPerS = context.settings.cloudLimits().requestsPerS() * CALL_RATE_SHARE;
    TokenBucket callBudget =
        new TokenBucket(callsPerS, Math.max(1, callsPerS * BURST_S), context.nowMs());
    ProvisioningIntents intents = new ProvisioningIntents(election, store);
    scaleOut = new ScaleOutRequests(context, election, fleet, intents, callBudget);
    scaleIn = new ScaleInRequests(context, election, fleet, intents, callBudget);
    types = new MachineTypePoller(context, election, store, fleet, callBudget);
    machineList = new MachineListPoller(context, fleet, callBudget, scaleOut::removeSettled);
  }

  /** Begins anew, for a new term. */
  public void reset() {
    scaleOut.reset();
    scaleIn.reset();
    types.reset();
    machineList.reset();
  }

  /** Whether a complete list of machines was read in this term. */
  public boolean hasCompleteListing() {
    return machineList.hasCompleteListing();
  }

  /** The calls that rent machines. */
  public ScaleOutRequests scaleOut() {
    return scaleOut;
  }

  /** The calls that return machines. */
  public ScaleInRequests scaleIn() {
    return scaleIn;
  }

  /** Makes the calls that are due: returns first, and a list before types are read again. */
  public void tick() {
    scaleIn.tick();
    if (fleet.types().isEmpty()) {
      types.requestIfDue();
    }
    scaleOut.tick();
    machineList.requestIfDue();
    types.requestIfDue();
  }

  /** How long a call to the cloud may take. */
  static long callTimeoutMs(ControllerContext context) {
    return context.stepMs() * CALL_TIMEOUT_STEPS;
  }
}
