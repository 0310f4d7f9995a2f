package eiderfork.controller;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.GuaranteedQuota;
import eiderfork.controller.quota.Preemptor;
import eiderfork.controller.quota.QuotaAmount;
import eiderfork.controller.quota.QuotaLedger;
import eiderfork.controller.quota.TeamId;
import eiderfork.controller.quota.TeamUsage;
import eiderfork.model.Job;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps the ledger of lending up to date with the jobs, the claims and what is to be stopped. */
final class TeamUsageTracker {
  /** The share of the time in which a task should start that may go into a checkpoint's wait. */
  private static final double CHECKPOINT_WAIT_SHARE = 0.5;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final FreeCapacity capacity;
  private final DeferredPreemptions deferredPreemptions;
  private QuotaLedger ledger;

  /** The changes of jobs, claims and reclaims that the ledger was made of. */
  private long ledgerRevision;

  TeamUsageTracker(
      ControllerContext context,
      JobRegistry jobs,
      MachineRegistry fleet,
      FreeCapacity capacity,
      DeferredPreemptions deferredPreemptions) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    this.capacity = capacity;
    this.deferredPreemptions = deferredPreemptions;
  }

  void clear() {
    ledger = null;
  }

  /** The ledger as things stand now; made anew only after something has changed. */
  QuotaLedger ledger() {
    long changes =
        jobs.resourceUsage().changeCount()
            + capacity.claimRevision()
            + deferredPreemptions.revision();
    if (ledger == null || changes != ledgerRevision) {
      ledger = new QuotaLedger(accounts(Map.of()));
      ledgerRevision = changes;
    }
    return ledger;
  }

  /** The room that is being made for jobs. */
  List<FreeCapacity.Claim> claims() {
    return capacity.claims();
  }

  /** The accounts with what the waiting tasks of each team ask for. */
  List<TeamUsage> accountsWithDemand() {
    Map<String, QuotaAmount> asked = new HashMap<>();
    for (JobState job : jobs.jobsWithWork()) {
      QuotaAmount waiting =
          QuotaAmount.of(job.spec.taskResources()).times(job.pendingTasks.cardinality());
      asked.merge(job.spec.team(), waiting, QuotaAmount::plus);
    }
    return accounts(asked);
  }

  private List<TeamUsage> accounts(Map<String, QuotaAmount> requestedByTeam) {
    Map<String, QuotaAmount> promised = new HashMap<>();
    for (FreeCapacity.Claim claim : capacity.claims()) {
      Job job = claim.job().spec;
      promised.merge(job.team(), QuotaAmount.of(job.taskResources()), QuotaAmount::plus);
    }
    List<TeamUsage> accounts = new ArrayList<>();
    for (Team team : context.settings.teams().values()) {
      TeamId id = new TeamId(team.name());
      QuotaAmount stopping =
          QuotaAmount.of(jobs.resourceUsage().stopping(team.name()))
              .plus(deferredPreemptions.pendingAmountOf(id));
      accounts.add(
          new TeamUsage(
              id,
              GuaranteedQuota.of(team),
              new QuotaAmount(team.maxGpus(), team.maxCpus()),
              QuotaAmount.of(jobs.resourceUsage().held(team.name())),
              stopping,
              promised.getOrDefault(team.name(), QuotaAmount.NONE),
              requestedByTeam.getOrDefault(team.name(), QuotaAmount.NONE)));
    }
    return accounts;
  }

  /** The job as one that room is to be made for. */
  Preemptor preemptorOf(JobState entry) {
    Job job = entry.spec;
    TeamId team = new TeamId(job.team());
    TeamUsage account = ledger().account(team);
    QuotaAmount need =
        QuotaAmount.of(job.taskResources()).times(entry.gang == null ? 1 : unclaimedTasks(entry));
    boolean waitedForBoot = context.nowMs - entry.firstSeenMs >= fleet.longestBootMs(job);
    return new Preemptor(
        team,
        job.kind(),
        job.priority(),
        account != null && account.canCover(need),
        maxCheckpointWaitS(job),
        waitedForBoot);
  }

  /** How many of a gang's tasks have no room promised yet. */
  private long unclaimedTasks(JobState job) {
    long claimed = capacity.claims().stream().filter(claim -> claim.job() == job).count();
    return Math.max(0, job.spec.tasks() - claimed);
  }

  private double maxCheckpointWaitS(Job job) {
    double aimS = context.settings.shortestObjectiveS(Objective.Kind.WAIT, job.jobClass());
    return CHECKPOINT_WAIT_SHARE
        * (aimS == Double.MAX_VALUE ? context.settings.workerTimings().leaseS() : aimS);
  }
}
