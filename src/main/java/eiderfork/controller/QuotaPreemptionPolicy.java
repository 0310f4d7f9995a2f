package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.CheckpointPolicy;
import eiderfork.controller.quota.PreemptionDecision;
import eiderfork.controller.quota.PreemptionMode;
import eiderfork.controller.quota.PreemptionPlan;
import eiderfork.controller.quota.PreemptionVictim;
import eiderfork.controller.quota.Preemptor;
import eiderfork.controller.quota.QuotaLedger;
import eiderfork.controller.quota.QuotaPreemptionRules;
import eiderfork.controller.quota.TeamId;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Stops work by the rules of lending: what other teams run beyond their guarantees for a team that
 * lacks its own, and less urgent batch work where no team's guarantee is touched.
 */
final class QuotaPreemptionPolicy implements PreemptionPolicy {
  /** How long a gang is away when it is stopped, in steps. */
  private static final double GANG_RESTART_STEPS = 2;

  /** How late a start may be seen, in report intervals. */
  private static final double START_OBSERVATION_DELAY_HEARTBEATS = 1.25;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CpusPerGpu cpusPerGpu;
  private final DeadlineEstimator deadlines;
  private final TeamUsageTracker teamUsage;
  private final DeferredPreemptions deferredPreemptions;
  private final BorrowedCapacity borrowedCapacity;
  private final QuotaReclaimLog reclaimLog;
  private final boolean canReclaim;

  /** What was stopped and not confirmed yet. */
  private final List<Choice> unconfirmed = new ArrayList<>();

  /** The ledger with what was taken of the machine that is looked at; null while nothing was. */
  private QuotaLedger trialLedger;

  /** The gangs that were taken there. */
  private final Set<JobState> trialGangs = new HashSet<>();

  /** The job that room is made for, as it was judged by this ledger. */
  private JobState cachedEntry;

  private QuotaLedger cachedLedger;
  private Preemptor cachedPreemptor;

  QuotaPreemptionPolicy(
      ControllerContext context,
      JobRegistry jobs,
      MachineRegistry fleet,
      CpusPerGpu cpusPerGpu,
      DeadlineEstimator deadlines,
      TeamUsageTracker teamUsage,
      DeferredPreemptions deferredPreemptions,
      BorrowedCapacity borrowedCapacity,
      QuotaReclaimLog reclaimLog,
      boolean canReclaim) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cpusPerGpu = cpusPerGpu;
    this.deadlines = deadlines;
    this.teamUsage = teamUsage;
    this.deferredPreemptions = deferredPreemptions;
    this.borrowedCapacity = borrowedCapacity;
    this.reclaimLog = reclaimLog;
    this.canReclaim = canReclaim;
  }

  private Preemptor preemptorOf(JobState job) {
    QuotaLedger ledger = teamUsage.ledger();
    if (cachedEntry != job || cachedLedger != ledger) {
      cachedEntry = job;
      cachedLedger = ledger;
      cachedPreemptor = teamUsage.preemptorOf(job);
    }
    return cachedPreemptor;
  }

  @Override
  public boolean canPreemptForArray(JobState job) {
    Preemptor preemptor = preemptorOf(job);
    return canReclaim
        && preemptor.isWithinGuarantee()
        && teamUsage.ledger().hasOtherBorrower(preemptor.team());
  }

  /** No more than the team's limit leaves beside the room that is being made for it already. */
  @Override
  public int maxTasks(JobState entry, int wanted) {
    Job job = entry.spec;
    Team team = context.settings.teams().get(job.team());
    Resources used = jobs.resourceUsage().used(job.team());
    for (FreeCapacity.Claim claim : teamUsage.claims()) {
      if (claim.job().spec.team().equals(job.team())) {
        used = used.plus(claim.job().spec.taskResources());
      }
    }
    return team == null || !canReclaim
        ? 0
        : team.countWithinLimit(used, job.taskResources(), wanted);
  }

  @Override
  public List<VictimPreference> preferences(JobState job) {
    Preemptor preemptor = preemptorOf(job);
    if (!preemptor.isWithinGuarantee()) {
      return List.of(VictimPreference.BORROWED_BATCH);
    }
    return preemptor.hasWaitedForBoot()
        ? List.of(VictimPreference.values())
        : List.of(
            VictimPreference.BORROWED_BATCH,
            VictimPreference.PARTLY_BORROWED_BATCH,
            VictimPreference.GUARANTEED_BATCH);
  }

  @Override
  public Object preemptorClass(JobState job) {
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

  /** A task on a machine that does not answer, or whose save hangs, holds its room for longer. */
  @Override
  public boolean isFreeingCapacity(Reservation reservation) {
    if (deferredPreemptions.isPending(reservation)) {
      return true;
    }
    long marginMs = WorkerCommander.CHECKPOINT_MARGIN_STEPS * context.stepMs();
    return !reservation.isDesired()
        && borrowedCapacity.isResponsive(reservation.machine)
        && !reservation.isSaveOverdue(context.nowMs, marginMs);
  }

  @Override
  public void beginOption() {
    trialLedger = null;
    trialGangs.clear();
  }

  @Override
  public Choice evaluate(JobState job, Reservation reservation, VictimPreference upTo) {
    Job spec = reservation.job.spec;
    if (spec.kind() == JobKind.SERVICE && upTo != VictimPreference.BORROWED_REPLICA) {
      return null;
    }
    Preemptor preemptor = preemptorOf(job);
    PreemptionDecision.Allowed allowed =
        evaluateVictim(preemptor, reservation, teamUsage.ledger(), upTo);
    if (allowed == null) {
      return null;
    }
    PreemptionPlan plan = planFor(reservation, preemptor);
    return new Choice(reservation, allowed.reason(), plan, costOf(reservation, plan));
  }

  private PreemptionDecision.Allowed evaluateVictim(
      Preemptor preemptor, Reservation reservation, QuotaLedger ledger, VictimPreference upTo) {
    PreemptionDecision verdict =
        QuotaPreemptionRules.evaluate(preemptor, victimOf(reservation), ledger);
    if (verdict instanceof PreemptionDecision.Refused refused) {
      reclaimLog.recordRefusal(refused.reason());
      return null;
    }
    PreemptionDecision.Allowed allowed = (PreemptionDecision.Allowed) verdict;
    return allowed.preference().compareTo(upTo) <= 0 ? allowed : null;
  }

  private static PreemptionVictim victimOf(Reservation reservation) {
    Job spec = reservation.job.spec;
    return new PreemptionVictim(
        new TeamId(spec.team()),
        spec.kind(),
        spec.priority(),
        DeferredPreemptions.amountFreedBy(reservation));
  }

  private PreemptionPlan planFor(Reservation reservation, Preemptor preemptor) {
    Job spec = reservation.job.spec;
    if (spec.kind() == JobKind.SERVICE) {
      // It is away until a machine comes for it, whether it serves already or not.
      return new PreemptionPlan(PreemptionMode.AT_ONCE, 0, fleet.longestBootMs(spec) / 1000);
    }
    if (reservation.reportedState != TaskStatus.State.RUNNING || reservation.runningSinceMs == 0) {
      return PreemptionPlan.NO_WORK_LOST;
    }
    return PreemptionPlan.cheapest(
        new CheckpointPolicy(spec.checkpointIntervalS(), spec.saveDurationS()),
        (context.nowMs - reservation.runningSinceMs) / 1000.0,
        reservation.isStartObserved(),
        preemptor.maxCheckpointWaitS(),
        START_OBSERVATION_DELAY_HEARTBEATS * context.heartbeatIntervalMs() / 1000.0);
  }

  /** What was reclaimed before weighs more, so that it is not always the same that is stopped. */
  private double costOf(Reservation reservation, PreemptionPlan plan) {
    Job spec = reservation.job.spec;
    double lateS =
        deadlines.isLateIfRerun(reservation)
            ? spec.estimatedRunS() * PriorityPreemptionPolicy.MISSED_DEADLINE_RUNS
            : 0;
    double costS = plan.costS() + lateS;
    if (reservation.job.gang != null) {
      costS =
          (costS + GANG_RESTART_STEPS * context.stepS())
              * PriorityPreemptionPolicy.gangTasksPerLocalTask(reservation);
    }
    return costS
        * cpusPerGpu.gpuWeight(spec.taskResources())
        * (1 + reservation.job.reclaimCount(reservation.taskIndex));
  }

  @Override
  public boolean include(JobState job, Choice choice, VictimPreference upTo) {
    Reservation reservation = choice.task();
    if (trialGangs.contains(reservation.job)) {
      return true;
    }
    QuotaLedger before = trialLedger == null ? teamUsage.ledger() : trialLedger;
    if (trialLedger != null
        && evaluateVictim(preemptorOf(job), reservation, before, upTo) == null) {
      return false;
    }
    trialLedger = before.copy();
    trialLedger.addStopping(
        new TeamId(reservation.job.spec.team()), DeferredPreemptions.amountFreedBy(reservation));
    if (reservation.job.gang != null) {
      trialGangs.add(reservation.job);
    }
    return true;
  }

  @Override
  public void preempt(JobState job, MachineState machine, List<Choice> choices) {
    for (Choice choice : choices) {
      Reservation reservation = choice.task();
      if (!reservation.isDesired() || deferredPreemptions.isPending(reservation)) {
        // Another task of its gang was chosen before.
        continue;
      }
      unconfirmed.add(choice);
      if (choice.plan().mode() == PreemptionMode.AFTER_CHECKPOINT) {
        deferredPreemptions.preemptAfterCheckpoint(reservation, job, choice.plan().delayS());
      } else {
        if (reservation.job.gang == null && choice.plan().mode() == PreemptionMode.AT_ONCE) {
          reservation.skipSave();
        }
        jobs.requestStop(reservation);
        machine.requestCommand();
      }
    }
  }

  @Override
  public void confirm(JobState job) {
    for (Choice choice : unconfirmed) {
      Reservation reservation = choice.task();
      reservation.job.recordReclaim(reservation.taskIndex, context.nowMs);
      borrowedCapacity.recordReclaim(reservation, job.spec);
      reclaimLog.recordReclaim(job.spec, choice);
    }
    unconfirmed.clear();
  }

  @Override
  public void rollBack() {
    for (Choice choice : unconfirmed) {
      deferredPreemptions.cancel(choice.task());
      jobs.revokeStop(choice.task());
    }
    unconfirmed.clear();
  }
}
