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
  private final boolean isEnabled;

  BorrowedCapacity(ControllerContext context, JobRegistry jobs, MachineRegistry fleet) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    isEnabled = context.settings.operator().isLendingEnabled();
  }

  void clear() {
    cooldowns.clear();
  }

  /** Forgets reversals that are long past. */
  void tick() {
    cooldowns.decay(context.nowMs);
  }

  /** Whether the next task of the job would run beyond what its team is guaranteed. */
  boolean isBorrowing(JobState job) {
    if (!isEnabled || job.spec.kind() == JobKind.SERVICE) {
      return false;
    }
    Team team = context.settings.teams().get(job.spec.team());
    int tasks = job.gang == null ? 1 : job.spec.tasks();
    Resources used = jobs.resourceUsage().held(job.spec.team());
    return team == null
        || !team.isWithinGuarantee(used.plus(job.spec.taskResources().times(tasks)));
  }

  /**
   * What of a machine's free room is kept from a job that borrows. What was reclaimed for the job
   * itself is not: an urgent gang that borrows once waited for the room that was made for it.
   */
  Resources withheldFrom(JobState borrower, MachineState machine) {
    String own = borrower.spec.uid();
    return cooldowns.withheld(
        machine.name(), context.nowMs, uid -> uid.equals(own) || hasReservation(uid, machine));
  }

  private static boolean hasReservation(String uid, MachineState machine) {
    return machine.reservations().stream()
        .anyMatch(reservation -> reservation.job.spec.uid().equals(uid));
  }

  /** Room was reclaimed from a task for another job. */
  void recordReclaim(Reservation victim, Job preemptor) {
    MachineState machine = victim.machine;
    MachineType type = fleet.typeOf(machine);
    if (type == null) {
      return;
    }
    long startAndSaveMs = startAndSaveMs(victim.job.spec, type);
    boolean shortLoan =
        victim.isStartObserved() && context.nowMs - victim.runningSinceMs() < startAndSaveMs;
    long firstMs = Math.max(startAndSaveMs, cooldownMs(type.bootS()));
    cooldowns.recordReclaim(
        machine.name(),
        preemptor.uid(),
        preemptor.taskResources(),
        context.nowMs,
        firstMs,
        shortLoan);
  }

  private static long startAndSaveMs(Job job, MachineType type) {
    return (long) (1000 * (job.imageGb() / type.imageFetchGbPerS() + job.saveDurationS()));
  }

  private long cooldownMs(double bootS) {
    return (long) (1000 * bootS * context.settings.operator().loanCooldownBoots());
  }

  /**
   * Whether a gang that would borrow has to wait, since it was reclaimed lately: longer with each
   * time. It is the first to be reclaimed where nothing else is borrowed, and loses a start and a
   * save each time.
   */
  boolean isGangCoolingDown(JobState job) {
    int times = job.reclaims().count(0);
    if (times == 0 || !isBorrowing(job)) {
      return false;
    }
    long firstMs = cooldownMs(fleet.longestBootMs(job.spec) / 1000);
    long waitsMs = ReclaimCooldowns.cooldownMs(times, firstMs);
    return context.nowMs - job.reclaims().lastReclaimedMs() < waitsMs;
  }

  /**
   * Whether a job can't take the room that was made for it, since a write of it is under way.
   * Without this a borrower took it, and others had to be stopped for the job.
   */
  boolean isWritePending(JobState job) {
    return isEnabled && job.writes().isInFlight();
  }

  /** Whether tasks on this machine can be told to stop: it has answered what it was last told. */
  boolean isResponsive(MachineState machine) {
    return !isEnabled || machine.commandChannel().unansweredCommands() == 0;
  }
}
