package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.PreemptionMode;
import eiderfork.controller.quota.PreemptionPlan;
import eiderfork.controller.quota.PreemptionReason;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stops batch work of a lower priority, whoever's it is. Guarantees are not looked at. */
final class PriorityPreemptionPolicy implements PreemptionPolicy {
  private static final Logger LOG = LoggerFactory.getLogger(PriorityPreemptionPolicy.class);

  /** How long a gang is away when it is stopped, in steps. */
  private static final double GANG_RESTART_STEPS = 2;

  /** How many runs of a task its job's deadline is worth when it is decided which one to stop. */
  static final double MISSED_DEADLINE_RUNS = 4;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final CpusPerGpu cpusPerGpu;
  private final DeadlineEstimator deadlines;

  /** What was stopped and not confirmed yet. */
  private final List<Reservation> unconfirmed = new ArrayList<>();

  PriorityPreemptionPolicy(
      ControllerContext context,
      JobRegistry jobs,
      CpusPerGpu cpusPerGpu,
      DeadlineEstimator deadlines) {
    this.context = context;
    this.jobs = jobs;
    this.cpusPerGpu = cpusPerGpu;
    this.deadlines = deadlines;
  }

  @Override
  public boolean canPreemptForArray(JobState preemptor) {
    return false;
  }

  @Override
  public int maxTasks(JobState preemptor, int wanted) {
    return wanted;
  }

  @Override
  public List<VictimPreference> preferences(JobState preemptor) {
    return List.of(VictimPreference.BORROWED_BATCH);
  }

  @Override
  public Object preemptorClass(JobState preemptor) {
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
  public Choice evaluate(JobState preemptor, Reservation reservation, VictimPreference upTo) {
    Job spec = reservation.job.spec;
    boolean mayStop =
        spec.kind() != JobKind.SERVICE && spec.priority().compareTo(preemptor.spec.priority()) > 0;
    if (!mayStop) {
      return null;
    }
    PreemptionPlan plan = new PreemptionPlan(PreemptionMode.SAVE, 0, lostWorkS(reservation));
    return new Choice(
        reservation,
        PreemptionReason.PRIORITY,
        plan,
        plan.lostWorkS() * cpusPerGpu.gpuWeight(spec.taskResources()));
  }

  private double lostWorkS(Reservation reservation) {
    Job spec = reservation.job.spec;
    if (reservation.job.gang != null) {
      return gangLostWorkS(reservation);
    }
    if (reservation.reportedState() != TaskStatus.State.RUNNING
        || reservation.runningSinceMs() == 0) {
      return 0;
    }
    double ranS = (context.nowMs - reservation.runningSinceMs()) / 1000.0;
    double sinceCheckpointS =
        spec.checkpointIntervalS() > 0 ? Math.min(ranS, spec.checkpointIntervalS()) : ranS;
    double lateS =
        deadlines.isLateIfRerun(reservation) ? spec.estimatedRunS() * MISSED_DEADLINE_RUNS : 0;
    return sinceCheckpointS + lateS;
  }

  /**
   * What each of a gang's tasks on a machine bears of stopping all of the gang. It saves first if
   * it can, and is away for a while; a gang that can't save loses what it did.
   */
  private double gangLostWorkS(Reservation reservation) {
    Job spec = reservation.job.spec;
    double ranS =
        reservation.runningSinceMs() == 0
            ? 0
            : (context.nowMs - reservation.runningSinceMs()) / 1000.0;
    double lostS = spec.checkpointIntervalS() > 0 ? spec.saveDurationS() : ranS;
    return (lostS + GANG_RESTART_STEPS * context.stepS()) * gangTasksPerLocalTask(reservation);
  }

  /** How many of a gang's tasks end for each of them on a machine. */
  static double gangTasksPerLocalTask(Reservation reservation) {
    long here =
        reservation.machine.reservations().stream()
            .filter(other -> other.job == reservation.job)
            .count();
    return reservation.job.spec.tasks() / (double) here;
  }

  @Override
  public boolean include(JobState preemptor, Choice choice, VictimPreference upTo) {
    return true;
  }

  @Override
  public void preempt(JobState preemptor, MachineState machine, List<Choice> choices) {
    for (Choice choice : choices) {
      LOG.info(
          "stopping {} on {} for {}",
          choice.task().toAttempt(),
          machine.name(),
          preemptor.spec.uid());
      jobs.requestStop(choice.task());
      machine.requestCommand();
      unconfirmed.add(choice.task());
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
