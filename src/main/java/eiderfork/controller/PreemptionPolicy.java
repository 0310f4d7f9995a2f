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
   * @param loss what that throws away, in seconds of its work weighted by its size
   */
  record Choice(Reservation task, PreemptionReason ground, PreemptionPlan plan, double loss) {}

  /** Whether room may be made for an array; it may always be for other jobs. */
  boolean mayTakeForArray(JobState taker);

  /** How many of the wanted tasks may have room made for them now. */
  int mostTasks(JobState taker, int wanted);

  /** Up to which kinds of work victims are looked for, one after the other. */
  List<VictimPreference> preferences(JobState taker);

  /** What distinguishes the jobs for which the same searches for victims fail. */
  Object takerKind(JobState taker);

  /** Whether the job borrows, so that room which was reclaimed lately is not for it. */
  boolean borrows(JobState taker);

  /** Whether tasks on this machine may be told to stop, and are likely to do so. */
  boolean mayAsk(MachineState m);

  /** Whether the room of a task becomes free without anybody else being stopped. */
  boolean isLeaving(Reservation p);

  /** A machine is looked at; nothing of it was chosen yet. */
  void beginOption();

  /** How a task may be stopped for the job; null where it may not be. */
  Choice choice(JobState taker, Reservation p, VictimPreference upTo);

  /** Whether a task may still be stopped after those taken since {@link #beginOption}; takes it. */
  boolean take(JobState taker, Choice choice, VictimPreference upTo);

  /** Room for a task of the job is made on this machine, by stopping these. */
  void stop(JobState taker, MachineState m, List<Choice> choices);

  /** What was stopped since the last call stays so. */
  void confirm(JobState taker);

  /** What was stopped since the last confirmation goes on; nothing was sent to it yet. */
  void undo();
}
