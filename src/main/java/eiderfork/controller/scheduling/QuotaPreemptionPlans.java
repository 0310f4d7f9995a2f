package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.CheckpointPolicy;
import eiderfork.controller.quota.PreemptionMode;
import eiderfork.controller.quota.PreemptionPlan;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import eiderfork.model.JobKind;

/** Plans how tasks are preempted under quota rules, and estimates what that costs. */
final class QuotaPreemptionPlans {
  /** How late a start may have been observed, in heartbeat intervals. */
  private static final double START_OBSERVATION_DELAY_HEARTBEATS = 1.25;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final PreemptionCosts costs;

  QuotaPreemptionPlans(ControllerContext context, MachineRegistry fleet, PreemptionCosts costs) {
    this.context = context;
    this.fleet = fleet;
    this.costs = costs;
  }

  /** The cheapest way to preempt a task for a job that may wait this long for a checkpoint. */
  PreemptionPlan planFor(Reservation task, double maxCheckpointWaitS) {
    Job spec = task.job().spec();
    if (spec.kind() == JobKind.SERVICE) {
      // It does not serve until a machine was booted for it, whether it serves already or not.
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

  /** The cost of a plan; it grows with each reclaim of the task, so that reclaims are spread. */
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
