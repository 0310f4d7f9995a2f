package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.CheckpointPolicy;
import eiderfork.controller.quota.PreemptionDecision;
import eiderfork.controller.quota.PreemptionMode;
import eiderfork.controller.quota.PreemptionPlan;
import eiderfork.controller.quota.PreemptionVictim;
import eiderfork.controller.quota.Preemptor;
import eiderfork.controller.quota.QuotaLedger;
import eiderfork.controller.quota.ReclaimPolicy;
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
  private static final double AWAY_STEPS = 2;

  /** How late a start may be seen, in report intervals. */
  private static final double SEEN_LATE_REPORTS = 1.25;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CpusPerGpu balance;
  private final DeadlineEstimator deadlines;
  private final TeamUsageTracker accounts;
  private final PendingReclaims reclaims;
  private final BorrowedCapacity loans;
  private final QuotaReclaimLog log;
  private final boolean mayReclaim;

  /** What was stopped and not confirmed yet. */
  private final List<Choice> chosen = new ArrayList<>();

  /** The ledger with what was taken of the machine that is looked at; null while nothing was. */
  private QuotaLedger trial;

  /** The gangs that were taken there. */
  private final Set<JobState> trialGangs = new HashSet<>();

  /** The job that room is made for, as it was judged by this ledger. */
  private JobState judgedEntry;

  private QuotaLedger judgedBy;
  private Preemptor judged;

  QuotaPreemptionPolicy(
      ControllerContext context,
      JobRegistry jobs,
      MachineRegistry fleet,
      CpusPerGpu balance,
      DeadlineEstimator deadlines,
      TeamUsageTracker accounts,
      PendingReclaims reclaims,
      BorrowedCapacity loans,
      QuotaReclaimLog log,
      boolean mayReclaim) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    this.balance = balance;
    this.deadlines = deadlines;
    this.accounts = accounts;
    this.reclaims = reclaims;
    this.loans = loans;
    this.log = log;
    this.mayReclaim = mayReclaim;
  }

  private Preemptor taker(JobState entry) {
    QuotaLedger ledger = accounts.ledger();
    if (judgedEntry != entry || judgedBy != ledger) {
      judgedEntry = entry;
      judgedBy = ledger;
      judged = accounts.taker(entry);
    }
    return judged;
  }

  @Override
  public boolean mayTakeForArray(JobState entry) {
    Preemptor taker = taker(entry);
    return mayReclaim && taker.withinGuarantee() && accounts.ledger().othersBorrow(taker.team());
  }

  /** No more than the team's limit leaves beside the room that is being made for it already. */
  @Override
  public int mostTasks(JobState entry, int wanted) {
    Job job = entry.job;
    Team team = context.settings.teams().get(job.team());
    Resources used = jobs.tally().used(job.team());
    for (FreeCapacity.Claim claim : accounts.claims()) {
      if (claim.entry().job.team().equals(job.team())) {
        used = used.plus(claim.entry().job.need());
      }
    }
    return team == null || !mayReclaim ? 0 : team.tasksWithinLimit(used, job.need(), wanted);
  }

  @Override
  public List<VictimPreference> preferences(JobState entry) {
    Preemptor taker = taker(entry);
    if (!taker.withinGuarantee()) {
      return List.of(VictimPreference.BORROWED_BATCH);
    }
    return taker.waitedForBoot()
        ? List.of(VictimPreference.values())
        : List.of(
            VictimPreference.BORROWED_BATCH,
            VictimPreference.PARTLY_BORROWED_BATCH,
            VictimPreference.GUARANTEED_BATCH);
  }

  @Override
  public Object takerKind(JobState entry) {
    return taker(entry);
  }

  @Override
  public boolean borrows(JobState entry) {
    return loans.borrows(entry);
  }

  @Override
  public boolean mayAsk(MachineState m) {
    return loans.mayAsk(m);
  }

  /** A task on a machine that does not answer, or whose save hangs, holds its room for longer. */
  @Override
  public boolean isLeaving(Reservation p) {
    if (reclaims.isPending(p)) {
      return true;
    }
    long marginMs = WorkerCommander.SAVE_MARGIN_STEPS * context.stepMs();
    return !p.wanted() && loans.mayAsk(p.machine) && !p.isSaveOverdue(context.nowMs, marginMs);
  }

  @Override
  public void beginOption() {
    trial = null;
    trialGangs.clear();
  }

  @Override
  public Choice choice(JobState entry, Reservation p, VictimPreference upTo) {
    Job its = p.job.job;
    if (its.kind() == JobKind.SERVICE && upTo != VictimPreference.BORROWED_REPLICA) {
      return null;
    }
    Preemptor taker = taker(entry);
    PreemptionDecision.Allowed allowed = judge(taker, p, accounts.ledger(), upTo);
    if (allowed == null) {
      return null;
    }
    PreemptionPlan plan = plan(p, taker);
    return new Choice(p, allowed.ground(), plan, loss(p, plan));
  }

  private PreemptionDecision.Allowed judge(
      Preemptor taker, Reservation p, QuotaLedger ledger, VictimPreference upTo) {
    PreemptionDecision verdict = ReclaimPolicy.judge(taker, victim(p), ledger);
    if (verdict instanceof PreemptionDecision.Refused refused) {
      log.refused(refused.reason());
      return null;
    }
    PreemptionDecision.Allowed allowed = (PreemptionDecision.Allowed) verdict;
    return allowed.preference().compareTo(upTo) <= 0 ? allowed : null;
  }

  private static PreemptionVictim victim(Reservation p) {
    Job its = p.job.job;
    return new PreemptionVictim(
        new TeamId(its.team()), its.kind(), its.priority(), PendingReclaims.amount(p));
  }

  private PreemptionPlan plan(Reservation p, Preemptor taker) {
    Job its = p.job.job;
    if (its.kind() == JobKind.SERVICE) {
      // It is away until a machine comes for it, whether it serves already or not.
      return new PreemptionPlan(PreemptionMode.AT_ONCE, 0, fleet.longestBootMs(its) / 1000);
    }
    if (p.seen != TaskStatus.State.RUNNING || p.runningSinceMs == 0) {
      return PreemptionPlan.NOTHING_LOST;
    }
    return PreemptionPlan.cheapest(
        new CheckpointPolicy(its.checkpointS(), its.saveS()),
        (context.nowMs - p.runningSinceMs) / 1000.0,
        p.isStartSeen(),
        taker.mayWaitS(),
        SEEN_LATE_REPORTS * context.reportMs() / 1000.0);
  }

  /** What was reclaimed before weighs more, so that it is not always the same that is stopped. */
  private double loss(Reservation p, PreemptionPlan plan) {
    Job its = p.job.job;
    double lateS =
        deadlines.lateIfRunAgain(p) ? its.estimateS() * PriorityPreemptionPolicy.LATE_RUNS : 0;
    double costS = plan.costS() + lateS;
    if (p.job.gang != null) {
      costS = (costS + AWAY_STEPS * context.stepS()) * PriorityPreemptionPolicy.tasksForEachHere(p);
    }
    return costS * balance.weight(its.need()) * (1 + p.job.timesReclaimed(p.index));
  }

  @Override
  public boolean take(JobState entry, Choice choice, VictimPreference upTo) {
    Reservation p = choice.task();
    if (trialGangs.contains(p.job)) {
      return true;
    }
    QuotaLedger before = trial == null ? accounts.ledger() : trial;
    if (trial != null && judge(taker(entry), p, before, upTo) == null) {
      return false;
    }
    trial = before.trial();
    trial.stop(new TeamId(p.job.job.team()), PendingReclaims.amount(p));
    if (p.job.gang != null) {
      trialGangs.add(p.job);
    }
    return true;
  }

  @Override
  public void stop(JobState entry, MachineState m, List<Choice> choices) {
    for (Choice choice : choices) {
      Reservation p = choice.task();
      if (!p.wanted() || reclaims.isPending(p)) {
        // Another task of its gang was chosen before.
        continue;
      }
      chosen.add(choice);
      if (choice.plan().mode() == PreemptionMode.AFTER_CHECKPOINT) {
        reclaims.stopLater(p, entry, choice.plan().delayS());
      } else {
        if (p.job.gang == null && choice.plan().mode() == PreemptionMode.AT_ONCE) {
          p.endWithoutSave();
        }
        jobs.stop(p);
        m.setUrgent();
      }
    }
  }

  @Override
  public void confirm(JobState entry) {
    for (Choice choice : chosen) {
      Reservation p = choice.task();
      p.job.noteReclaimed(p.index, context.nowMs);
      loans.reclaimed(p, entry.job);
      log.reclaimed(entry.job, choice);
    }
    chosen.clear();
  }

  @Override
  public void undo() {
    for (Choice choice : chosen) {
      reclaims.cancel(choice.task());
      jobs.goOn(choice.task());
    }
    chosen.clear();
  }
}
