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
  private static final double AWAY_STEPS = 2;

  /** How many runs of a task its job's deadline is worth when it is decided which one to stop. */
  static final double LATE_RUNS = 4;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final CpusPerGpu balance;
  private final DeadlineEstimator deadlines;

  /** What was stopped and not confirmed yet. */
  private final List<Reservation> chosen = new ArrayList<>();

  PriorityPreemptionPolicy(
      ControllerContext context,
      JobRegistry jobs,
      CpusPerGpu balance,
      DeadlineEstimator deadlines) {
    this.context = context;
    this.jobs = jobs;
    this.balance = balance;
    this.deadlines = deadlines;
  }

  @Override
  public boolean mayTakeForArray(JobState taker) {
    return false;
  }

  @Override
  public int mostTasks(JobState taker, int wanted) {
    return wanted;
  }

  @Override
  public List<VictimPreference> preferences(JobState taker) {
    return List.of(VictimPreference.BORROWED_BATCH);
  }

  @Override
  public Object takerKind(JobState taker) {
    return "";
  }

  @Override
  public boolean borrows(JobState taker) {
    return false;
  }

  @Override
  public boolean mayAsk(MachineState m) {
    return true;
  }

  @Override
  public boolean isLeaving(Reservation p) {
    return !p.wanted();
  }

  @Override
  public void beginOption() {}

  @Override
  public Choice choice(JobState taker, Reservation p, VictimPreference upTo) {
    Job its = p.job.job;
    boolean mayStop =
        its.kind() != JobKind.SERVICE && its.priority().compareTo(taker.job.priority()) > 0;
    if (!mayStop) {
      return null;
    }
    PreemptionPlan plan = new PreemptionPlan(PreemptionMode.SAVE, 0, lostS(p));
    return new Choice(
        p, PreemptionReason.PRIORITY, plan, plan.lostS() * balance.weight(its.need()));
  }

  private double lostS(Reservation p) {
    Job its = p.job.job;
    if (p.job.gang != null) {
      return gangLostS(p);
    }
    if (p.seen != TaskStatus.State.RUNNING || p.runningSinceMs == 0) {
      return 0;
    }
    double ranS = (context.nowMs - p.runningSinceMs) / 1000.0;
    double sinceCheckpointS = its.checkpointS() > 0 ? Math.min(ranS, its.checkpointS()) : ranS;
    double lateS = deadlines.lateIfRunAgain(p) ? its.estimateS() * LATE_RUNS : 0;
    return sinceCheckpointS + lateS;
  }

  /**
   * What each of a gang's tasks on a machine bears of stopping all of the gang. It saves first if
   * it can, and is away for a while; a gang that can't save loses what it did.
   */
  private double gangLostS(Reservation p) {
    Job its = p.job.job;
    double ranS = p.runningSinceMs == 0 ? 0 : (context.nowMs - p.runningSinceMs) / 1000.0;
    double lostS = its.checkpointS() > 0 ? its.saveS() : ranS;
    return (lostS + AWAY_STEPS * context.stepS()) * tasksForEachHere(p);
  }

  /** How many of a gang's tasks end for each of them on a machine. */
  static double tasksForEachHere(Reservation p) {
    long here = p.machine.placed.stream().filter(other -> other.job == p.job).count();
    return p.job.job.tasks() / (double) here;
  }

  @Override
  public boolean take(JobState taker, Choice choice, VictimPreference upTo) {
    return true;
  }

  @Override
  public void stop(JobState taker, MachineState m, List<Choice> choices) {
    for (Choice choice : choices) {
      LOG.info("stopping {} on {} for {}", choice.task().id(), m.name, taker.job.uid());
      jobs.stop(choice.task());
      m.setUrgent();
      chosen.add(choice.task());
    }
  }

  @Override
  public void confirm(JobState taker) {
    chosen.clear();
  }

  @Override
  public void undo() {
    chosen.forEach(jobs::goOn);
    chosen.clear();
  }
}
