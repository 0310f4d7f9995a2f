package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.workers.MachineLiveness;

/**
 * Connects a leader's state with the borrowing rules in {@code controller.quota}. Nothing is
 * stored: borrowed quota follows from reservations, guarantees and demand.
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

  /** The time of this leader's first tick; 0 before it. */
  private long firstTickMs;

  /**
   * True once all machines with reservations have reported, or the heartbeat timeout is over, so
   * that tasks preempted by an earlier leader are known.
   */
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

  /** Discards the state of the previous leadership term. */
  void clear() {
    firstTickMs = 0;
    canReclaim = false;
    borrowedCapacity.clear();
    deferredPreemptions.clear();
    teamUsage.clear();
    usageLog.clear();
  }

  /** Returns the policy for the preemptions of one round. */
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
   * Allows reclaims once this leader has seen what runs on each machine. Tasks that an earlier
   * leader preempted may be about to end, and a reclaim before that would preempt other tasks in
   * their place. Silent machines are waited for until the heartbeat timeout.
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

  /** Returns whether the job's next task, or its whole gang, would exceed its team's guarantee. */
  boolean isBorrowing(JobState job) {
    return borrowedCapacity.isBorrowing(job);
  }

  /** Returns whether the job is a gang that may not borrow again yet. */
  boolean isGangCoolingDown(JobState job) {
    return isEnabled && borrowedCapacity.isGangCoolingDown(job);
  }

  /** Runs the periodic work that does not belong to a round. */
  void tick() {
    if (isEnabled) {
      awaitEarlierReclaims();
      deferredPreemptions.tick();
      borrowedCapacity.tick();
      usageLog.logIfDue(teamUsage::usagesWithRequests);
    }
  }
}
