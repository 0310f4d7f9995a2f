package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.UserResponse;
import java.util.function.Consumer;

/** Refuses requests at once that would wait too long for their turn at the state service. */
final class LoadShedder {
  /** How long a request may wait, in steps; later ones are told when to come back. */
  private static final double MAX_WAIT_STEPS = 0.8;

  private final ControllerContext context;

  LoadShedder(ControllerContext context) {
    this.context = context;
  }

  /**
   * Answers a request that would wait for {@code waitMs} where that is too long; whether it was.
   */
  boolean rejects(long waitMs, Consumer<UserResponse> onResponse) {
    if (waitMs <= context.stepMs() * MAX_WAIT_STEPS) {
      return false;
    }
    int laterS = (int) Math.max(1, Math.ceil(waitMs / 1000.0));
    onResponse.accept(UserResponse.retryAfter(laterS, "too many requests"));
    return true;
  }
}
