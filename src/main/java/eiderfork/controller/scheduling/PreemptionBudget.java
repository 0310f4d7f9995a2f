package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;

/**
 * Limits the CPU time of searches for preemption victims: after an expensive round no search begins
 * until its cost is spread over enough steps.
 */
final class PreemptionBudget {
  private final ControllerContext context;
  private final double maxExaminationsPerStep;
  private long notBeforeMs;

  PreemptionBudget(ControllerContext context, double maxExaminationsPerStep) {
    this.context = context;
    this.maxExaminationsPerStep = maxExaminationsPerStep;
  }

  /** Returns whether a search for victims may begin now. */
  boolean isAvailable() {
    return context.nowMs() >= notBeforeMs;
  }

  /** Charges the machine examinations of a round to the budget. */
  void charge(int examinations) {
    long pauseMs = (long) (examinations / maxExaminationsPerStep * context.stepMs());
    notBeforeMs = Math.max(notBeforeMs, context.nowMs() + pauseMs);
  }

  /** Discards the charges of the previous leadership term. */
  void clear() {
    notBeforeMs = 0;
  }
}
