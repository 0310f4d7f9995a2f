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
  private static final double WAIT_SHARE = 0.5;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final FreeCapacity room;
  private final PendingReclaims reclaims;
  private QuotaLedger ledger;

  /** The changes of jobs, claims and reclaims that the ledger was made of. */
  private long madeOf;

  TeamUsageTracker(
      ControllerContext context,
      JobRegistry jobs,
      MachineRegistry fleet,
      FreeCapacity room,
      PendingReclaims reclaims) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    this.room = room;
    this.reclaims = reclaims;
  }

  void clear() {
    ledger = null;
  }

  /** The ledger as things stand now; made anew only after something has changed. */
  QuotaLedger ledger() {
    long changes = jobs.tally().changes() + room.claimChanges() + reclaims.changes();
    if (ledger == null || changes != madeOf) {
      ledger = new QuotaLedger(accounts(Map.of()));
      madeOf = changes;
    }
    return ledger;
  }

  /** The room that is being made for jobs. */
  List<FreeCapacity.Claim> claims() {
    return room.claims();
  }

  /** The accounts with what the waiting tasks of each team ask for. */
  List<TeamUsage> withAsked() {
    Map<String, QuotaAmount> asked = new HashMap<>();
    for (JobState entry : jobs.withWork()) {
      QuotaAmount waiting = QuotaAmount.of(entry.job.need()).times(entry.waiting.cardinality());
      asked.merge(entry.job.team(), waiting, QuotaAmount::plus);
    }
    return accounts(asked);
  }

  private List<TeamUsage> accounts(Map<String, QuotaAmount> asked) {
    Map<String, QuotaAmount> promised = new HashMap<>();
    for (FreeCapacity.Claim claim : room.claims()) {
      Job job = claim.entry().job;
      promised.merge(job.team(), QuotaAmount.of(job.need()), QuotaAmount::plus);
    }
    List<TeamUsage> accounts = new ArrayList<>();
    for (Team team : context.settings.teams().values()) {
      TeamId id = new TeamId(team.name());
      QuotaAmount stopping =
          QuotaAmount.of(jobs.tally().stopping(team.name())).plus(reclaims.of(id));
      accounts.add(
          new TeamUsage(
              id,
              GuaranteedQuota.of(team),
              new QuotaAmount(team.gpusMax(), team.cpusMax()),
              QuotaAmount.of(jobs.tally().held(team.name())),
              stopping,
              promised.getOrDefault(team.name(), QuotaAmount.NONE),
              asked.getOrDefault(team.name(), QuotaAmount.NONE)));
    }
    return accounts;
  }

  /** The job as one that room is to be made for. */
  Preemptor taker(JobState entry) {
    Job job = entry.job;
    TeamId team = new TeamId(job.team());
    TeamUsage account = ledger().account(team);
    QuotaAmount need = QuotaAmount.of(job.need()).times(entry.gang == null ? 1 : unclaimed(entry));
    boolean waitedForBoot = context.nowMs - entry.sinceMs >= fleet.longestBootMs(job);
    return new Preemptor(
        team,
        job.kind(),
        job.priority(),
        account != null && account.coversAlso(need),
        mayWaitS(job),
        waitedForBoot);
  }

  /** How many of a gang's tasks have no room promised yet. */
  private long unclaimed(JobState entry) {
    long claimed = room.claims().stream().filter(claim -> claim.entry() == entry).count();
    return Math.max(0, entry.job.tasks() - claimed);
  }

  private double mayWaitS(Job job) {
    double aimS = context.settings.shortestAimS(Objective.Kind.WAIT, job.jobClass());
    return WAIT_SHARE * (aimS == Double.MAX_VALUE ? context.settings.workers().leaseS() : aimS);
  }
}
