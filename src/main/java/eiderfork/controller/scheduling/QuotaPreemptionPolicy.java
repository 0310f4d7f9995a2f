package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.PreemptionDecision;
import eiderfork.controller.quota.PreemptionMode;
import eiderfork.controller.quota.PreemptionPlan;
import eiderfork.controller.quota.PreemptionVictim;
import eiderfork.controller.quota.Preemptor;
import eiderfork.controller.quota.QuotaLedger;
import eiderfork.controller.quota.QuotaPreemptionRules;
import eiderfork.controller.quota.TeamId;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.workers.CommandBuilder;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.List;

/**
 * Preempts by quota and priority. A team below its guarantee may reclaim capacity that other teams
 * use beyond theirs. Less urgent batch work may also be preempted as long as no team falls below
 * its guarantee.
 */
final class QuotaPreemptionPolicy implements PreemptionPolicy {
  private final ControllerContext context;
  private final JobRegistry jobs;
  private final QuotaPreemptionPlans plans;
  private final TeamUsageTracker teamUsage;
  private final DeferredPreemptions deferredPreemptions;
  private final BorrowedCapacity borrowedCapacity;
  private final QuotaUsageLog usageLog;
  private final boolean canReclaim;
  private final TentativeLedger tentativeLedger;

  /** Preemptions that are not confirmed yet. */
  private final List<TaskPreemption> unconfirmed = new ArrayList<>();

  /** The job that the cached {@link #preemptor} describes, as of {@link #preemptorLedger}. */
  private JobState preemptorJob;

  private QuotaLedger preemptorLedger;
  private Preemptor preemptor;

  /**
   * Creates the policy for one round.
   *
   * @param canReclaim whether this leader may preempt yet
   */
  QuotaPreemptionPolicy(
      ControllerContext context,
      JobRegistry jobs,
      QuotaPreemptionPlans plans,
      TeamUsageTracker teamUsage,
      DeferredPreemptions deferredPreemptions,
      BorrowedCapacity borrowedCapacity,
      QuotaUsageLog usageLog,
      boolean canReclaim) {
    this.context = context;
    this.jobs = jobs;
    this.plans = plans;
    this.teamUsage = teamUsage;
    this.deferredPreemptions = deferredPreemptions;
    this.borrowedCapacity = borrowedCapacity;
    this.usageLog = usageLog;
    this.canReclaim = canReclaim;
    tentativeLedger = new TentativeLedger(teamUsage);
  }

  private Preemptor preemptorOf(JobState job) {
    QuotaLedger ledger = teamUsage.ledger();
    if (preemptorJob != job || preemptorLedger != ledger) {
      preemptorJob = job;
      preemptorLedger = ledger;
      preemptor = teamUsage.preemptorOf(job);
    }
    return preemptor;
  }

  @Override
  public boolean canPreemptForArray(JobState job) {
    Preemptor array = preemptorOf(job);
    return canReclaim
        && array.isWithinGuarantee()
        && teamUsage.ledger().hasOtherBorrower(array.team());
  }

  /** Limits the count to what fits within the team's limit after its usage and claims. */
  @Override
  public int maxTasks(JobState job, int wantedTasks) {
    Job spec = job.spec();
    Team team = context.settings.teams().get(spec.team());
    if (team == null || !canReclaim) {
      return 0;
    }
    Resources used = teamUsage.usedWithClaims(spec.team());
    return team.countWithinLimit(used, spec.taskResources(), wantedTasks);
  }

  @Override
  public List<VictimPreference> victimPreferences(JobState job) {
    Preemptor current = preemptorOf(job);
    if (!current.isWithinGuarantee()) {
      return List.of(VictimPreference.BORROWED_BATCH);
    }
    return current.hasWaitedForBoot()
        ? List.of(VictimPreference.values())
        : List.of(
            VictimPreference.BORROWED_BATCH,
            VictimPreference.PARTLY_BORROWED_BATCH,
            VictimPreference.GUARANTEED_BATCH);
  }

  @Override
  public Object preemptorKey(JobState job) {
    return preemptorOf(job);
  }

  @Override
  public boolean isBorrowing(JobState job) {
    return borrowedCapacity.isBorrowing(job);
  }

  @Override
  public boolean canPreemptOn(MachineState machine) {
    return borrowedCapacity.isResponsive(machine);
  }

  /**
   * Excludes tasks on unresponsive machines and tasks whose save is overdue: they do not free their
   * capacity in the expected time.
   */
  @Override
  public boolean isFreeingCapacity(Reservation reservation) {
    if (deferredPreemptions.isPending(reservation)) {
      return true;
    }
    long marginMs = CommandBuilder.CHECKPOINT_MARGIN_STEPS * context.stepMs();
    return !reservation.isDesired()
        && borrowedCapacity.isResponsive(reservation.machine())
        && !reservation.isSaveOverdue(context.nowMs(), marginMs);
  }

  @Override
  public void beginOption() {
    tentativeLedger.begin();
  }

  @Override
  public TaskPreemption evaluate(
      JobState job, Reservation reservation, VictimPreference maxPreference) {
    boolean isReplica = reservation.job().spec().kind() == JobKind.SERVICE;
    if (isReplica && maxPreference != VictimPreference.BORROWED_REPLICA) {
      return null;
    }
    PreemptionDecision.Allowed allowed = decide(job, reservation, teamUsage.ledger());
    if (!isAllowed(allowed, maxPreference)) {
      return null;
    }
    PreemptionPlan plan = plans.planFor(reservation, preemptorOf(job).maxCheckpointWaitS());
    return new TaskPreemption(reservation, allowed.reason(), plan, plans.costOf(reservation, plan));
  }

  /**
   * Returns the decision if the task may be preempted; otherwise counts the refusal and returns
   * null.
   */
  private PreemptionDecision.Allowed decide(
      JobState job, Reservation reservation, QuotaLedger ledger) {
    PreemptionDecision decision =
        QuotaPreemptionRules.evaluate(preemptorOf(job), victimOf(reservation), ledger);
    if (decision instanceof PreemptionDecision.Refused refused) {
      usageLog.countRefusal(refused.reason());
      return null;
    }
    return (PreemptionDecision.Allowed) decision;
  }

  private static boolean isAllowed(
      PreemptionDecision.Allowed allowed, VictimPreference maxPreference) {
    return allowed != null && allowed.preference().compareTo(maxPreference) <= 0;
  }

  private static PreemptionVictim victimOf(Reservation reservation) {
    Job spec = reservation.job().spec();
    return new PreemptionVictim(
        new TeamId(spec.team()),
        spec.kind(),
        spec.priority(),
        DeferredPreemptions.amountFreedBy(reservation));
  }

  @Override
  public boolean tryInclude(
      JobState job, TaskPreemption preemption, VictimPreference maxPreference) {
    Reservation reservation = preemption.task();
    if (tentativeLedger.includesGang(reservation.job())) {
      return true;
    }
    // The first victim was already evaluated with the unmodified ledger.
    if (tentativeLedger.hasVictims()
        && !isAllowed(decide(job, reservation, tentativeLedger.ledger()), maxPreference)) {
      return false;
    }
    tentativeLedger.include(reservation);
    return true;
  }

  @Override
  public void preempt(JobState job, MachineState machine, List<TaskPreemption> preemptions) {
    for (TaskPreemption preemption : preemptions) {
      Reservation reservation = preemption.task();
      // An earlier preemption of another task may have stopped the whole gang.
      if (reservation.isDesired() && !deferredPreemptions.isPending(reservation)) {
        unconfirmed.add(preemption);
        preempt(job, machine, preemption);
      }
    }
  }

  private void preempt(JobState job, MachineState machine, TaskPreemption preemption) {
    Reservation reservation = preemption.task();
    PreemptionPlan plan = preemption.plan();
    if (plan.mode() == PreemptionMode.AFTER_CHECKPOINT) {
      deferredPreemptions.preemptAfterCheckpoint(reservation, job, plan.delayS());
      return;
    }
    if (reservation.job().gang() == null && plan.mode() == PreemptionMode.AT_ONCE) {
      reservation.skipSave();
    }
    jobs.requestStop(reservation);
    machine.requestCommand();
  }

  @Override
  public void confirm(JobState job) {
    for (TaskPreemption preemption : unconfirmed) {
      Reservation reservation = preemption.task();
      reservation.job().reclaims().record(reservation.taskIndex(), context.nowMs());
      borrowedCapacity.recordReclaim(reservation, job.spec());
      usageLog.countPreemption();
      PreemptionLog.logVictim(job.spec(), preemption);
    }
    unconfirmed.clear();
  }

  @Override
  public void rollBack() {
    for (TaskPreemption preemption : unconfirmed) {
      deferredPreemptions.cancel(preemption.task());
      jobs.revokeStop(preemption.task());
    }
    unconfirmed.clear();
  }
}
