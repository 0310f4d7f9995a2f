package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.CheckpointPolicy;
import eiderfork.controller.quota.PreemptionMode;
import eiderfork.controller.quota.PreemptionPlan;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import eiderfork.model.JobKind;

/** Plans how tasks are preempted under quota rules and estimates the cost. */
final class QuotaPreemptionPlans {
  /** The longest delay until a task's start is observed, in heartbeat intervals. */
  private static final double START_OBSERVATION_DELAY_HEARTBEATS = 1.25;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final PreemptionCosts costs;

  QuotaPreemptionPlans(ControllerContext context, MachineRegistry fleet, PreemptionCosts costs) {
    this.context = context;
    this.fleet = fleet;
    this.costs = costs;
  }

  /**
   * Returns the cheapest way to preempt a task for a job that can wait this long for a checkpoint.
   */
  PreemptionPlan planFor(Reservation task, double maxCheckpointWaitS) {
    Job spec = task.job().spec();
    if (spec.kind() == JobKind.SERVICE) {
      // A replica is down until a machine has booted for it, whether or not it already serves.
      return new PreemptionPlan(PreemptionMode.AT_ONCE, 0, fleet.longestBootMs(spec) / 1000);
    }
    if (!PreemptionCosts.isKnownRunning(task)) {
      return PreemptionPlan.NO_WORK_LOST;
    }
    return PreemptionPlan.cheapest(
        new CheckpointPolicy(spec.checkpointIntervalS(), spec.saveDurationS()),
        costs.runS(task),
        task.isStartObserved(),
        maxCheckpointWaitS,
        START_OBSERVATION_DELAY_HEARTBEATS * context.heartbeatIntervalMs() / 1000.0);
  }

  /**
   * Returns the cost of a plan. It grows with each reclaim of the task, so that reclaims are spread
   * over tasks.
   */
  double costOf(Reservation task, PreemptionPlan plan) {
    double costS = plan.costS() + costs.missedDeadlineS(task);
    if (task.job().gang() != null) {
      costS = costs.gangShareS(task, costS);
    }
    return costS
        * costs.weight(task.job().spec())
        * (1 + task.job().reclaims().count(task.taskIndex()));
  }
}
