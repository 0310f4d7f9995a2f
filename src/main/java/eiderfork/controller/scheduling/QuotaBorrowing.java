package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.workers.MachineLiveness;

/**
 * Quota that teams borrow, for one leader: connects its state with the rules of {@code
 * controller.quota}. Nothing is stored for it; what is borrowed follows from reservations,
 * guarantees and demand.
 */
final class QuotaBorrowing {
  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final DeadlineEstimator deadlines;
  private final BorrowedCapacity borrowedCapacity;
  private final DeferredPreemptions deferredPreemptions;
  private final TeamUsageTracker teamUsage;
  private final QuotaUsageLog usageLog;
  private final boolean isEnabled;

  /** When this leader first decided; 0 for not yet. */
  private long firstTickMs;

  /** Machines have shown what an earlier leader preempted, or had the time to. */
  private boolean canReclaim;

  QuotaBorrowing(
      ControllerContext context,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness,
      DeadlineEstimator deadlines,
      FreeCapacity capacity,
      BorrowedCapacity borrowedCapacity) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
    this.deadlines = deadlines;
    this.borrowedCapacity = borrowedCapacity;
    deferredPreemptions = new DeferredPreemptions(context, jobs, capacity);
    teamUsage = new TeamUsageTracker(context, jobs, fleet, capacity, deferredPreemptions);
    usageLog = new QuotaUsageLog(context);
    isEnabled = context.settings.operator().isLendingEnabled();
  }

  /** Forgets what belongs to a term that is over. */
  void clear() {
    firstTickMs = 0;
    canReclaim = false;
    borrowedCapacity.clear();
    deferredPreemptions.clear();
    teamUsage.clear();
    usageLog.clear();
  }

  /** The policy for the preemptions of one round. */
  PreemptionPolicy preemptionPolicy(CpusPerGpu cpusPerGpu) {
    PreemptionCosts costs = new PreemptionCosts(context, cpusPerGpu, deadlines);
    if (!isEnabled) {
      return new PriorityPreemptionPolicy(jobs, costs);
    }
    return new QuotaPreemptionPolicy(
        context,
        jobs,
        new QuotaPreemptionPlans(context, fleet, costs),
        teamUsage,
        deferredPreemptions,
        borrowedCapacity,
        usageLog,
        canReclaim);
  }

  /**
   * A new leader reclaims nothing before it has seen what runs on each machine: tasks that an
   * earlier leader preempted there may be about to end, and others would be preempted in their
   * place. It waits for a silent machine until the heartbeat timeout.
   */
  private void awaitEarlierReclaims() {
    if (canReclaim) {
      return;
    }
    firstTickMs = firstTickMs == 0 ? context.nowMs() : firstTickMs;
    boolean isAnyUnseen =
        fleet
            .indexes()
            .hasMachineAwaitingToken(number -> !fleet.get(number).reservations().isEmpty());
    canReclaim = !isAnyUnseen || context.nowMs() - firstTickMs > liveness.heartbeatTimeoutMs();
  }

  /** Whether the job's next task, or its whole gang, would exceed its team's guarantee. */
  boolean isBorrowing(JobState job) {
    return borrowedCapacity.isBorrowing(job);
  }

  /** Whether the job is a gang that may not borrow again yet. */
  boolean isGangCoolingDown(JobState job) {
    return isEnabled && borrowedCapacity.isGangCoolingDown(job);
  }

  /** Does what is due between rounds. */
  void tick() {
    if (isEnabled) {
      awaitEarlierReclaims();
      deferredPreemptions.tick();
      borrowedCapacity.tick();
      usageLog.logIfDue(teamUsage::usagesWithRequests);
    }
  }
}
