package eiderfork.controller;

import eiderfork.controller.autoscaling.Autoscaler;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.scheduling.RoundTrigger;
import eiderfork.controller.scheduling.Scheduler;
import eiderfork.controller.workers.WorkerCommander;

/** Decides when a leader plans its fleet and runs scheduling rounds. */
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
   * Creates a loop without a requested round.
   *
   * @param roundIntervalMs the minimum interval between the starts of two rounds
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

  /** Plans the fleet once per step, if the machine types are known, and requests a round. */
  void planIfDue() {
    if (context.nowMs() >= nextPlanMs && !fleet.types().isEmpty()) {
      nextPlanMs = context.nowMs() + context.stepMs();
      autoscaler.plan();
      trigger.request();
    }
  }

  /** Runs a round if one is requested and due, and sends the resulting commands. */
  void runRoundIfDue() {
    if (trigger.isRequested() && context.nowMs() >= nextRoundMs) {
      nextRoundMs = context.nowMs() + roundIntervalMs;
      trigger.recordRound(scheduler.runRound());
      commander.tick();
    }
  }
}
