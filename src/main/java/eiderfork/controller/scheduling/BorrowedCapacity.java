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
 * Which work borrows quota, and which capacity is withheld from it. The cooldowns are not stored: a
 * new leader begins without them, which costs one more reversal per machine at most.
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

  /** Forgets what belongs to a term that is over. */
  void clear() {
    cooldowns.clear();
  }

  /** Forgets reversals that are long past. */
  void tick() {
    cooldowns.decay(context.nowMs());
  }

  /** Whether the job's next task, or its whole gang, would exceed its team's guarantee. */
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
   * The free capacity of a machine that is withheld from a borrowing job. What was reclaimed for
   * the job itself is not, or it could not use what was freed for it.
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
   * Whether a gang that would borrow has to wait, since it was reclaimed lately: longer with each
   * time. Where nothing else is borrowed it would be the victim of each reclaim, and lose a start
   * and a save each time.
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
   * Whether a job can't use its claims yet, since a write of it is in flight. The claims outlast
   * the write, or a borrower would take the capacity and others be preempted for the job.
   */
  boolean isWritePending(JobState job) {
    return isEnabled && job.writes().isInFlight();
  }

  /** Whether a machine has answered the latest commands, so that its tasks can be stopped. */
  boolean isResponsive(MachineState machine) {
    return !isEnabled || machine.commandChannel().unansweredCommands() == 0;
  }
}
