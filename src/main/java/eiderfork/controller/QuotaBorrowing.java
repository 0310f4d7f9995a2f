package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;

/**
 * GPUs lent to batch work: puts together what the rules of {@code controller.quota} need, for one
 * leader. Nothing is stored for it. What is lent follows from reservations, guarantees and demand.
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
  private final QuotaReclaimLog reclaimLog;
  private final boolean isEnabled;

  /** When this leader began to decide; 0 for not yet. */
  private long firstTickMs;

  /** The machines have shown what an older leader stopped, or had the time to. */
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
    reclaimLog = new QuotaReclaimLog(context);
    isEnabled = context.settings.operator().isLendingEnabled();
  }

  /** Forgets what belongs to a term that is over. */
  void clear() {
    firstTickMs = 0;
    canReclaim = false;
    borrowedCapacity.clear();
    deferredPreemptions.clear();
    teamUsage.clear();
    reclaimLog.clear();
  }

  /** What may be stopped for jobs in a round. */
  PreemptionPolicy preemptionPolicy(CpusPerGpu cpusPerGpu) {
    return isEnabled
        ? new QuotaPreemptionPolicy(
            context,
            jobs,
            fleet,
            cpusPerGpu,
            deadlines,
            teamUsage,
            deferredPreemptions,
            borrowedCapacity,
            reclaimLog,
            canReclaim)
        : new PriorityPreemptionPolicy(context, jobs, cpusPerGpu, deadlines);
  }

  /**
   * A new leader reclaims nothing before it has seen what stands on each machine: what an older one
   * has stopped there may be about to end, and others would be stopped in its stead. A machine that
   * stays silent is waited for no longer than until it counts as silent.
   */
  private void awaitEarlierReclaims() {
    if (canReclaim) {
      return;
    }
    firstTickMs = firstTickMs == 0 ? context.nowMs : firstTickMs;
    boolean anyUnshown =
        fleet.indexes().anyAwaitingToken(number -> !fleet.get(number).reservations().isEmpty());
    canReclaim = !anyUnshown || context.nowMs - firstTickMs > liveness.heartbeatTimeoutMs();
  }

  /** Whether the next task of the job would run beyond what its team is guaranteed. */
  boolean isBorrowing(JobState job) {
    return borrowedCapacity.isBorrowing(job);
  }

  /** Whether the job is a gang that may not borrow again yet. */
  boolean isGangCoolingDown(JobState job) {
    return isEnabled && borrowedCapacity.isGangCoolingDown(job);
  }

  void tick() {
    if (isEnabled) {
      awaitEarlierReclaims();
      deferredPreemptions.tick();
      borrowedCapacity.tick();
      reclaimLog.logIfDue(teamUsage::accountsWithDemand);
    }
  }
}
