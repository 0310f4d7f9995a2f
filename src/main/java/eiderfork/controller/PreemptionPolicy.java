package eiderfork.controller;

import eiderfork.controller.quota.PreemptionPlan;
import eiderfork.controller.quota.PreemptionReason;
import eiderfork.controller.quota.VictimPreference;
import java.util.List;

/** Which work may be stopped to make room for a job, how, and what that costs. */
interface PreemptionPolicy {
  /**
   * A task that may be stopped.
   *
   * @param cost what that throws away, in seconds of its work weighted by its size
   */
  record Choice(Reservation task, PreemptionReason reason, PreemptionPlan plan, double cost) {}

  /** Whether room may be made for an array; it may always be for other jobs. */
  boolean canPreemptForArray(JobState preemptor);

  /** How many of the wanted tasks may have room made for them now. */
  int maxTasks(JobState preemptor, int wanted);

  /** Up to which kinds of work victims are looked for, one after the other. */
  List<VictimPreference> preferences(JobState preemptor);

  /** What distinguishes the jobs for which the same searches for victims fail. */
  Object preemptorClass(JobState preemptor);

  /** Whether the job borrows, so that room which was reclaimed lately is not for it. */
  boolean isBorrowing(JobState preemptor);

  /** Whether tasks on this machine may be told to stop, and are likely to do so. */
  boolean canPreemptOn(MachineState machine);

  /** Whether the room of a task becomes free without anybody else being stopped. */
  boolean isFreeingCapacity(Reservation reservation);

  /** A machine is looked at; nothing of it was chosen yet. */
  void beginOption();

  /** How a task may be stopped for the job; null where it may not be. */
  Choice evaluate(JobState preemptor, Reservation reservation, VictimPreference upTo);

  /** Whether a task may still be stopped after those taken since {@link #beginOption}; takes it. */
  boolean include(JobState preemptor, Choice choice, VictimPreference upTo);

  /** Room for a task of the job is made on this machine, by stopping these. */
  void preempt(JobState preemptor, MachineState machine, List<Choice> choices);

  /** What was stopped since the last call stays so. */
  void confirm(JobState preemptor);

  /** What was stopped since the last confirmation goes on; nothing was sent to it yet. */
  void rollBack();
}
