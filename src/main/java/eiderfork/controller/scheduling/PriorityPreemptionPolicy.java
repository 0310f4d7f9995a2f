package eiderfork.controller.scheduling;

import eiderfork.controller.quota.PreemptionMode;
import eiderfork.controller.quota.PreemptionPlan;
import eiderfork.controller.quota.PreemptionReason;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import java.util.ArrayList;
import java.util.List;

/** Preempts batch work with a lower priority from any team, ignoring guarantees. */
final class PriorityPreemptionPolicy implements PreemptionPolicy {
  private final JobRegistry jobs;
  private final PreemptionCosts costs;

  /** Preempted tasks that are not confirmed yet. */
  private final List<Reservation> unconfirmed = new ArrayList<>();

  PriorityPreemptionPolicy(JobRegistry jobs, PreemptionCosts costs) {
    this.jobs = jobs;
    this.costs = costs;
  }

  @Override
  public boolean canPreemptForArray(JobState preemptor) {
    return false;
  }

  @Override
  public int maxTasks(JobState preemptor, int wantedTasks) {
    return wantedTasks;
  }

  @Override
  public List<VictimPreference> victimPreferences(JobState preemptor) {
    return List.of(VictimPreference.BORROWED_BATCH);
  }

  @Override
  public Object preemptorKey(JobState preemptor) {
    return "";
  }

  @Override
  public boolean isBorrowing(JobState preemptor) {
    return false;
  }

  @Override
  public boolean canPreemptOn(MachineState machine) {
    return true;
  }

  @Override
  public boolean isFreeingCapacity(Reservation reservation) {
    return !reservation.isDesired();
  }

  @Override
  public void beginOption() {}

  @Override
  public TaskPreemption evaluate(
      JobState preemptor, Reservation reservation, VictimPreference maxPreference) {
    Job spec = reservation.job().spec();
    boolean isPreemptible =
        spec.kind() != JobKind.SERVICE
            && spec.priority().compareTo(preemptor.spec().priority()) > 0;
    if (!isPreemptible) {
      return null;
    }
    PreemptionPlan plan = new PreemptionPlan(PreemptionMode.SAVE, 0, lostWorkS(reservation));
    double cost = plan.lostWorkS() * costs.weight(spec);
    return new TaskPreemption(reservation, PreemptionReason.PRIORITY, plan, cost);
  }

  private double lostWorkS(Reservation reservation) {
    if (reservation.job().gang() != null) {
      return gangLostWorkS(reservation);
    }
    if (!PreemptionCosts.isKnownRunning(reservation)) {
      return 0;
    }
    double runS = costs.runS(reservation);
    double checkpointIntervalS = reservation.job().spec().checkpointIntervalS();
    double sinceCheckpointS = checkpointIntervalS > 0 ? Math.min(runS, checkpointIntervalS) : runS;
    return sinceCheckpointS + costs.missedDeadlineS(reservation);
  }

  /**
   * Returns the work lost by a gang: the duration of a save if it can checkpoint, otherwise all of
   * its work.
   */
  private double gangLostWorkS(Reservation reservation) {
    Job spec = reservation.job().spec();
    double lostS = spec.checkpointIntervalS() > 0 ? spec.saveDurationS() : costs.runS(reservation);
    return costs.gangShareS(reservation, lostS);
  }

  @Override
  public boolean tryInclude(
      JobState preemptor, TaskPreemption preemption, VictimPreference maxPreference) {
    return true;
  }

  @Override
  public void preempt(JobState preemptor, MachineState machine, List<TaskPreemption> preemptions) {
    for (TaskPreemption preemption : preemptions) {
      PreemptionLog.logVictim(preemptor.spec(), preemption);
      jobs.requestStop(preemption.task());
      machine.requestCommand();
      unconfirmed.add(preemption.task());
    }
  }

  @Override
  public void confirm(JobState preemptor) {
    unconfirmed.clear();
  }

  @Override
  public void rollBack() {
    unconfirmed.forEach(jobs::revokeStop);
    unconfirmed.clear();
  }
}
