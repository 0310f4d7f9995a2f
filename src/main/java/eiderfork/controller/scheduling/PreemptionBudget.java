package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;

/**
 * Bounds the processor time that the search for preemption victims takes: after an expensive round
 * no further search begins until its cost is spread over enough steps.
 */
final class PreemptionBudget {
  private final ControllerContext context;
  private final double maxExaminationsPerStep;
  private long notBeforeMs;

  PreemptionBudget(ControllerContext context, double maxExaminationsPerStep) {
    this.context = context;
    this.maxExaminationsPerStep = maxExaminationsPerStep;
  }

  /** Whether victims may be searched for now. */
  boolean isAvailable() {
    return context.nowMs() >= notBeforeMs;
  }

  /** Accounts for the machines that a round has examined for victims. */
  void charge(int examinations) {
    long pauseMs = (long) (examinations / maxExaminationsPerStep * context.stepMs());
    notBeforeMs = Math.max(notBeforeMs, context.nowMs() + pauseMs);
  }

  /** Forgets the searches of a term that is over. */
  void clear() {
    notBeforeMs = 0;
  }
}
