package eiderfork.controller.scheduling;

import eiderfork.controller.quota.PreemptionPlan;
import eiderfork.controller.quota.PreemptionReason;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import java.util.List;

/**
 * Decides which tasks may be preempted for a job, how, and at what cost.
 *
 * <p>The planner examines machines one at a time: it calls {@link #beginOption}, then {@link
 * #evaluate} for each task, then {@link #tryInclude} for each task that it would choose. It applies
 * an option with {@link #preempt} and ends each job with {@link #confirm} or {@link #rollBack}.
 */
interface PreemptionPolicy {
  /**
   * The preemption of one task.
   *
   * @param cost the work lost, in seconds weighted by size
   */
  record TaskPreemption(
      Reservation task, PreemptionReason reason, PreemptionPlan plan, double cost) {}

  /** Returns whether preemption is allowed for an array; it is always allowed for other jobs. */
  boolean canPreemptForArray(JobState preemptor);

  /** Returns the number of wanted tasks for which preemption is allowed now. */
  int maxTasks(JobState preemptor, int wantedTasks);

  /** Returns the preference levels up to which to search for victims, in search order. */
  List<VictimPreference> victimPreferences(JobState preemptor);

  /** Returns a key that is equal for preemptors to which the policy applies the same decisions. */
  Object preemptorKey(JobState preemptor);

  /**
   * Returns whether the job borrows quota, so that recently reclaimed capacity is withheld from it.
   */
  boolean isBorrowing(JobState preemptor);

  /** Returns whether tasks on this machine can be expected to obey a stop command. */
  boolean canPreemptOn(MachineState machine);

  /** Returns whether a task is already ending, so that its capacity counts as free. */
  boolean isFreeingCapacity(Reservation reservation);

  /** Begins the evaluation of another machine with no tasks included. */
  void beginOption();

  /** Returns the preemption of a task for the job, or null if it is not allowed. */
  TaskPreemption evaluate(
      JobState preemptor, Reservation reservation, VictimPreference maxPreference);

  /**
   * Includes a task if it may still be preempted together with those included before, and returns
   * whether it was included.
   */
  boolean tryInclude(JobState preemptor, TaskPreemption preemption, VictimPreference maxPreference);

  /** Preempts the tasks to free capacity for one task of the job on this machine. */
  void preempt(JobState preemptor, MachineState machine, List<TaskPreemption> preemptions);

  /** Confirms the preemptions since the last confirmation. */
  void confirm(JobState preemptor);

  /** Reverts the preemptions since the last confirmation, before any command is sent for them. */
  void rollBack();
}
