package eiderfork.controller.scheduling;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.GuaranteedQuota;
import eiderfork.controller.quota.Preemptor;
import eiderfork.controller.quota.QuotaAmount;
import eiderfork.controller.quota.QuotaLedger;
import eiderfork.controller.quota.TeamId;
import eiderfork.controller.quota.TeamUsage;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.model.Job;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Derives each team's usage and borrowed quota from jobs, claims and pending preemptions. */
final class TeamUsageTracker {
  /** The share of a task's start objective that may be spent waiting for a victim's checkpoint. */
  private static final double CHECKPOINT_WAIT_SHARE = 0.5;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final FreeCapacity capacity;
  private final DeferredPreemptions deferredPreemptions;
  private QuotaLedger ledger;

  /** The sum of the revisions from which the ledger was derived. */
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

  /** Discards the ledger of the previous leadership term. */
  void clear() {
    ledger = null;
  }

  /**
   * Returns the current ledger. The instance stays the same until usage, claims or pending
   * preemptions change.
   */
  QuotaLedger ledger() {
    long revision =
        jobs.resourceUsage().changeCount()
            + capacity.claimRevision()
            + deferredPreemptions.revision();
    if (ledger == null || revision != ledgerRevision) {
      ledger = new QuotaLedger(usages(Map.of()));
      ledgerRevision = revision;
    }
    return ledger;
  }

  /** Returns a team's usage including the capacity claimed for its jobs. */
  Resources usedWithClaims(String team) {
    Resources used = jobs.resourceUsage().used(team);
    for (CapacityClaim claim : capacity.claims()) {
      Job spec = claim.job().spec();
      if (spec.team().equals(team)) {
        used = used.plus(spec.taskResources());
      }
    }
    return used;
  }

  /** Returns the usage of each team including the requests of its pending tasks. */
  List<TeamUsage> usagesWithRequests() {
    Map<String, QuotaAmount> requestedByTeam = new HashMap<>();
    for (JobState job : jobs.jobsWithWork()) {
      QuotaAmount requested =
          QuotaAmount.of(job.spec().taskResources()).times(job.pendingTaskCount());
      requestedByTeam.merge(job.spec().team(), requested, QuotaAmount::plus);
    }
    return usages(requestedByTeam);
  }

  private List<TeamUsage> usages(Map<String, QuotaAmount> requestedByTeam) {
    Map<String, QuotaAmount> claimedByTeam = claimedByTeam();
    List<TeamUsage> usages = new ArrayList<>();
    for (Team team : context.settings.teams().values()) {
      TeamId id = new TeamId(team.name());
      QuotaAmount stopping =
          QuotaAmount.of(jobs.resourceUsage().stopping(team.name()))
              .plus(deferredPreemptions.pendingAmountOf(id));
      usages.add(
          new TeamUsage(
              id,
              GuaranteedQuota.of(team),
              QuotaAmount.of(jobs.resourceUsage().held(team.name())),
              stopping,
              claimedByTeam.getOrDefault(team.name(), QuotaAmount.NONE),
              requestedByTeam.getOrDefault(team.name(), QuotaAmount.NONE)));
    }
    return usages;
  }

  private Map<String, QuotaAmount> claimedByTeam() {
    Map<String, QuotaAmount> claimedByTeam = new HashMap<>();
    for (CapacityClaim claim : capacity.claims()) {
      Job spec = claim.job().spec();
      claimedByTeam.merge(spec.team(), QuotaAmount.of(spec.taskResources()), QuotaAmount::plus);
    }
    return claimedByTeam;
  }

  /** Returns the properties of the job as a preemptor. */
  Preemptor preemptorOf(JobState job) {
    Job spec = job.spec();
    TeamId team = new TeamId(spec.team());
    TeamUsage usage = ledger().usage(team);
    QuotaAmount demand =
        QuotaAmount.of(spec.taskResources()).times(job.gang() == null ? 1 : unclaimedTasks(job));
    return new Preemptor(
        team,
        spec.kind(),
        spec.priority(),
        usage != null && usage.canCover(demand),
        maxCheckpointWaitS(spec),
        context.nowMs() - job.firstSeenMs() >= fleet.longestBootMs(spec));
  }

  /** Returns the number of a gang's tasks without a claim. */
  private long unclaimedTasks(JobState job) {
    long claimed = capacity.claims().stream().filter(claim -> claim.job() == job).count();
    return Math.max(0, job.spec().tasks() - claimed);
  }

  private double maxCheckpointWaitS(Job spec) {
    double objectiveS = context.settings.shortestObjectiveS(Objective.Kind.WAIT, spec.jobClass());
    boolean hasObjective = objectiveS != Double.MAX_VALUE;
    return CHECKPOINT_WAIT_SHARE
        * (hasObjective ? objectiveS : context.settings.workerTimings().leaseS());
  }
}
