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
  private final BorrowedCapacity loans;
  private final PendingReclaims reclaims;
  private final TeamUsageTracker accounts;
  private final QuotaReclaimLog log;
  private final boolean on;

  /** When this leader began to decide; 0 for not yet. */
  private long beganMs;

  /** The machines have shown what an older leader stopped, or had the time to. */
  private boolean mayReclaim;

  QuotaBorrowing(
      ControllerContext context,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness,
      DeadlineEstimator deadlines,
      FreeCapacity room,
      BorrowedCapacity loans) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
    this.deadlines = deadlines;
    this.loans = loans;
    reclaims = new PendingReclaims(context, jobs, room);
    accounts = new TeamUsageTracker(context, jobs, fleet, room, reclaims);
    log = new QuotaReclaimLog(context);
    on = context.settings.operator().lending();
  }

  /** Forgets what belongs to a term that is over. */
  void clear() {
    beganMs = 0;
    mayReclaim = false;
    loans.clear();
    reclaims.clear();
    accounts.clear();
    log.clear();
  }

  /** What may be stopped for jobs in a round. */
  PreemptionPolicy stops(CpusPerGpu balance) {
    return on
        ? new QuotaPreemptionPolicy(
            context, jobs, fleet, balance, deadlines, accounts, reclaims, loans, log, mayReclaim)
        : new PriorityPreemptionPolicy(context, jobs, balance, deadlines);
  }

  /**
   * A new leader reclaims nothing before it has seen what stands on each machine: what an older one
   * has stopped there may be about to end, and others would be stopped in its stead. A machine that
   * stays silent is waited for no longer than until it counts as silent.
   */
  private void lookForOlderReclaims() {
    if (mayReclaim) {
      return;
    }
    beganMs = beganMs == 0 ? context.nowMs : beganMs;
    boolean anyUnshown = fleet.sets().anyUnshown(number -> !fleet.get(number).placed.isEmpty());
    mayReclaim = !anyUnshown || context.nowMs - beganMs > liveness.silentMs();
  }

  /** Whether the next task of the job would run beyond what its team is guaranteed. */
  boolean borrows(JobState entry) {
    return loans.borrows(entry);
  }

  /** Whether the job is a gang that may not borrow again yet. */
  boolean isGangCoolingDown(JobState entry) {
    return on && loans.isGangCoolingDown(entry);
  }

  void tick() {
    if (on) {
      lookForOlderReclaims();
      reclaims.tick();
      loans.tick();
      log.tell(accounts::withAsked);
    }
  }
}
