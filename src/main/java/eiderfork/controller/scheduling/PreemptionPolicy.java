package eiderfork.controller.scheduling;

import eiderfork.controller.quota.PreemptionPlan;
import eiderfork.controller.quota.PreemptionReason;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import java.util.List;

/**
 * Which work may be preempted for a job, how, and what that costs.
 *
 * <p>The planner examines machines one after the other: {@link #beginOption}, then {@link
 * #evaluate} for each task, then {@link #tryInclude} for those that it would choose. It commits to
 * an option with {@link #preempt}, and ends each job with {@link #confirm} or {@link #rollBack}.
 */
interface PreemptionPolicy {
  /**
   * A task that may be preempted.
   *
   * @param cost the work that is thrown away, in seconds weighted by size
   */
  record TaskPreemption(
      Reservation task, PreemptionReason reason, PreemptionPlan plan, double cost) {}

  /** Whether work may be preempted for an array; it always may for other jobs. */
  boolean canPreemptForArray(JobState preemptor);

  /** For how many of the wanted tasks work may be preempted now. */
  int maxTasks(JobState preemptor, int wantedTasks);

  /** Up to which kinds of work victims are looked for, one search after the other. */
  List<VictimPreference> victimPreferences(JobState preemptor);

  /** Equal for jobs of which the policy treats every victim alike. */
  Object preemptorKey(JobState preemptor);

  /** Whether the job borrows quota, so that recently reclaimed capacity is withheld from it. */
  boolean isBorrowing(JobState preemptor);

  /** Whether tasks on this machine can be expected to obey a stop command. */
  boolean canPreemptOn(MachineState machine);

  /** Whether a task is ending already, so that its capacity counts as free. */
  boolean isFreeingCapacity(Reservation reservation);

  /** Begins with another machine, of which no task is included yet. */
  void beginOption();

  /** How a task may be preempted for the job; null where it may not be. */
  TaskPreemption evaluate(
      JobState preemptor, Reservation reservation, VictimPreference maxPreference);

  /** Includes a task, if it may still be preempted beside those included before. */
  boolean tryInclude(JobState preemptor, TaskPreemption preemption, VictimPreference maxPreference);

  /** Preempts the tasks for one task of the job on this machine. */
  void preempt(JobState preemptor, MachineState machine, List<TaskPreemption> preemptions);

  /** Confirms what was preempted since the last confirmation. */
  void confirm(JobState preemptor);

  /** Takes back what was preempted since the last confirmation; no command was sent for it yet. */
  void rollBack();
}
