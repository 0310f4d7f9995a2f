package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.ReclaimCooldowns;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.Team;

/**
 * Which work borrows, and what of a machine's room is kept from it. The cooldowns are hints: a new
 * leader begins without them, which costs one more reversal a machine at most.
 */
final class BorrowedCapacity {
  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final ReclaimCooldowns cooldowns = new ReclaimCooldowns();
  private final boolean on;

  BorrowedCapacity(ControllerContext context, JobRegistry jobs, MachineRegistry fleet) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    on = context.settings.operator().lending();
  }

  void clear() {
    cooldowns.clear();
  }

  /** Forgets reversals that are long past. */
  void tick() {
    cooldowns.fade(context.nowMs);
  }

  /** Whether the next task of the job would run beyond what its team is guaranteed. */
  boolean borrows(JobState entry) {
    if (!on || entry.job.kind() == JobKind.SERVICE) {
      return false;
    }
    Team team = context.settings.teams().get(entry.job.team());
    int tasks = entry.gang == null ? 1 : entry.job.tasks();
    Resources used = jobs.tally().held(entry.job.team());
    return team == null || !team.withinGuarantee(used.plus(entry.job.need().times(tasks)));
  }

  /**
   * What of a machine's free room is kept from a job that borrows. What was reclaimed for the job
   * itself is not: an urgent gang that borrows once waited for the room that was made for it.
   */
  Resources keptFrom(JobState borrower, MachineState m) {
    String own = borrower.job.uid();
    return cooldowns.kept(m.name, context.nowMs, uid -> uid.equals(own) || holdsRoom(uid, m));
  }

  private static boolean holdsRoom(String uid, MachineState m) {
    return m.placed.stream().anyMatch(p -> p.job.job.uid().equals(uid));
  }

  /** Room was reclaimed from a task for another job. */
  void reclaimed(Reservation victim, Job taker) {
    MachineState m = victim.machine;
    MachineType type = fleet.type(m);
    if (type == null) {
      return;
    }
    long startAndSaveMs = startAndSaveMs(victim.job.job, type);
    boolean shortLoan =
        victim.isStartSeen() && context.nowMs - victim.runningSinceMs < startAndSaveMs;
    long firstMs = Math.max(startAndSaveMs, cooldownMs(type.bootS()));
    cooldowns.reclaimed(m.name, taker.uid(), taker.need(), context.nowMs, firstMs, shortLoan);
  }

  private static long startAndSaveMs(Job job, MachineType type) {
    return (long) (1000 * (job.imageGb() / type.fetchGbPerS() + job.saveS()));
  }

  private long cooldownMs(double bootS) {
    return (long) (1000 * bootS * context.settings.operator().loanCooldown());
  }

  /**
   * Whether a gang that would borrow has to wait, since it was reclaimed lately: longer with each
   * time. It is the first to be reclaimed where nothing else is borrowed, and loses a start and a
   * save each time.
   */
  boolean isGangCoolingDown(JobState gang) {
    int times = gang.timesReclaimed(0);
    if (times == 0 || !borrows(gang)) {
      return false;
    }
    long firstMs = cooldownMs(fleet.longestBootMs(gang.job) / 1000);
    long waitsMs = ReclaimCooldowns.cooldownMs(times, firstMs);
    return context.nowMs - gang.lastReclaimedMs() < waitsMs;
  }

  /**
   * Whether a job can't take the room that was made for it, since a write of it is under way.
   * Without this a borrower took it, and others had to be stopped for the job.
   */
  boolean mayNotTakeYet(JobState entry) {
    return on && entry.writing;
  }

  /** Whether tasks on this machine can be told to stop: it has answered what it was last told. */
  boolean mayAsk(MachineState m) {
    return !on || m.unanswered == 0;
  }
}
