package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.StoreClient;

/** Makes the leader's calls to the cloud, all of which share one rate limit. */
public final class CloudProvisioner {
  /** The used share of the cloud's rate limit; the rest is a margin for clock differences. */
  private static final double CALL_RATE_SHARE = 0.9;

  /** The maximum burst after an idle period, as seconds of the call rate. */
  private static final double BURST_S = 2;

  /** The timeout of a call to the cloud, in steps. */
  private static final int CALL_TIMEOUT_STEPS = 5;

  private final MachineRegistry fleet;
  private final ScaleOutRequests scaleOut;
  private final ScaleInRequests scaleIn;
  private final MachineTypePoller types;
  private final MachineListPoller machineList;

  /** Creates a provisioner without open requests. */
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

  /** Discards the state of an earlier term. */
  public void reset() {
    scaleOut.reset();
    scaleIn.reset();
    types.reset();
    machineList.reset();
  }

  /** Returns whether a complete list of machines was read in this term. */
  public boolean hasCompleteListing() {
    return machineList.hasCompleteListing();
  }

  /** Returns the requests that rent machines. */
  public ScaleOutRequests scaleOut() {
    return scaleOut;
  }

  /** Returns the requests that return machines. */
  public ScaleInRequests scaleIn() {
    return scaleIn;
  }

  /**
   * Makes the calls that are due. When the rate limit is short, returns come first, and the machine
   * list comes before a refresh of the known machine types.
   */
  public void tick() {
    scaleIn.tick();
    if (fleet.types().isEmpty()) {
      types.requestIfDue();
    }
    scaleOut.tick();
    machineList.requestIfDue();
    types.requestIfDue();
  }

  /** Returns the timeout of a call to the cloud. */
  static long callTimeoutMs(ControllerContext context) {
    return context.stepMs() * CALL_TIMEOUT_STEPS;
  }
}
