package eiderfork.controller;

import eiderfork.controller.autoscaling.Autoscaler;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.scheduling.RoundTrigger;
import eiderfork.controller.scheduling.Scheduler;
import eiderfork.controller.workers.WorkerCommander;

/** When a leader plans its fleet and runs scheduling rounds. */
final class SchedulingLoop {
  private final ControllerContext context;
  private final RoundTrigger trigger;
  private final MachineRegistry fleet;
  private final Scheduler scheduler;
  private final Autoscaler autoscaler;
  private final WorkerCommander commander;
  private final long roundIntervalMs;
  private long nextRoundMs;
  private long nextPlanMs;

  /**
   * Makes a loop in which nothing is due before it is requested.
   *
   * @param roundIntervalMs the least time from one round to the next
   */
  SchedulingLoop(
      ControllerContext context,
      RoundTrigger trigger,
      MachineRegistry fleet,
      Scheduler scheduler,
      Autoscaler autoscaler,
      WorkerCommander commander,
      long roundIntervalMs) {
    this.context = context;
    this.trigger = trigger;
    this.fleet = fleet;
    this.scheduler = scheduler;
    this.autoscaler = autoscaler;
    this.commander = commander;
    this.roundIntervalMs = roundIntervalMs;
  }

  /** Plans the fleet once a step, as soon as the machine types are known. */
  void planIfDue() {
    if (context.nowMs() >= nextPlanMs && !fleet.types().isEmpty()) {
      nextPlanMs = context.nowMs() + context.stepMs();
      autoscaler.plan();
      trigger.request();
    }
  }

  /** Runs a round where one is requested, and sends the commands that follow from it. */
  void runRoundIfDue() {
    if (trigger.isRequested() && context.nowMs() >= nextRoundMs) {
      nextRoundMs = context.nowMs() + roundIntervalMs;
      trigger.recordRound(scheduler.runRound());
      commander.tick();
    }
  }
}
