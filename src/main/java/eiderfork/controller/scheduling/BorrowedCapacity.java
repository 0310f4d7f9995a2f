package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.ReclaimCooldowns;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.Team;

/**
 * Determines which jobs borrow quota and which capacity is withheld from them. Cooldowns are not
 * stored: a new leader starts without them, which costs at most one additional reversal per
 * machine.
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

  /** Discards the cooldowns of the previous leadership term. */
  void clear() {
    cooldowns.clear();
  }

  /** Expires old reversals. */
  void tick() {
    cooldowns.decay(context.nowMs());
  }

  /** Returns whether the job's next task, or its whole gang, would exceed its team's guarantee. */
  boolean isBorrowing(JobState job) {
    Job spec = job.spec();
    if (!isEnabled || spec.kind() == JobKind.SERVICE) {
      return false;
    }
    Team team = context.settings.teams().get(spec.team());
    int tasks = job.gang() == null ? 1 : spec.tasks();
    Resources used = jobs.resourceUsage().held(spec.team());
    return team == null || !team.isWithinGuarantee(used.plus(spec.taskResources().times(tasks)));
  }

  /**
   * Returns the free capacity of a machine that is withheld from a borrowing job. Capacity
   * reclaimed for the job itself is not withheld, so that the job can use what was freed for it.
   */
  Resources withheldFrom(JobState borrower, MachineState machine) {
    String borrowerUid = borrower.spec().uid();
    return cooldowns.withheld(
        machine.name(),
        context.nowMs(),
        uid -> uid.equals(borrowerUid) || hasReservation(uid, machine));
  }

  private static boolean hasReservation(String uid, MachineState machine) {
    return machine.reservations().stream()
        .anyMatch(reservation -> reservation.job().spec().uid().equals(uid));
  }

  /** Records that a task was reclaimed for another job. */
  void recordReclaim(Reservation victim, Job preemptor) {
    MachineState machine = victim.machine();
    MachineType type = fleet.typeOf(machine);
    if (type == null) {
      return;
    }
    long startAndSaveMs = startAndSaveMs(victim.job().spec(), type);
    boolean isShortLoan =
        victim.isStartObserved() && context.nowMs() - victim.runningSinceMs() < startAndSaveMs;
    long firstCooldownMs = Math.max(startAndSaveMs, cooldownMs(type.bootS()));
    cooldowns.recordReclaim(
        machine.name(),
        preemptor.uid(),
        preemptor.taskResources(),
        context.nowMs(),
        firstCooldownMs,
        isShortLoan);
  }

  private static long startAndSaveMs(Job spec, MachineType type) {
    return (long) (1000 * (spec.imageGb() / type.imageFetchGbPerS() + spec.saveDurationS()));
  }

  private long cooldownMs(double bootS) {
    return (long) (1000 * bootS * context.settings.operator().loanCooldownBoots());
  }

  /**
   * Returns whether a borrowing gang has to wait because it was reclaimed recently; the wait grows
   * with each reclaim. Without it, a gang that is the only borrower would be the victim of every
   * reclaim and lose a start and a save each time.
   */
  boolean isGangCoolingDown(JobState gang) {
    int reclaims = gang.reclaims().count(0);
    if (reclaims == 0 || !isBorrowing(gang)) {
      return false;
    }
    long firstCooldownMs = cooldownMs(fleet.longestBootMs(gang.spec()) / 1000);
    long cooldownMs = ReclaimCooldowns.cooldownMs(reclaims, firstCooldownMs);
    return context.nowMs() - gang.reclaims().lastReclaimedMs() < cooldownMs;
  }

  /**
   * Returns whether a write of the job is in flight, so that the job can't use its claims yet. The
   * claims outlast the write; otherwise a borrower could take the capacity and more work would be
   * preempted for the job.
   */
  boolean isWritePending(JobState job) {
    return isEnabled && job.writes().isInFlight();
  }

  /**
   * Returns whether a machine has answered the latest commands and can be expected to stop its
   * tasks.
   */
  boolean isResponsive(MachineState machine) {
    return !isEnabled || machine.commandChannel().unansweredCommands() == 0;
  }
}
