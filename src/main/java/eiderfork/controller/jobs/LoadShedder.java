package eiderfork.controller.jobs;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.UserResponse;
import java.util.function.Consumer;

/** Rejects requests at once that would be queued too long for the store. */
final class LoadShedder {
  /** How long a request may be queued, in steps. */
  private static final double MAX_WAIT_STEPS = 0.8;

  private final ControllerContext context;

  /** Makes a load shedder, which keeps no state. */
  LoadShedder(ControllerContext context) {
    this.context = context;
  }

  /**
   * Rejects a request that would be queued for {@code waitMs} where that is too long.
   *
   * @return whether it was rejected
   */
  boolean rejects(long waitMs, Consumer<UserResponse> onResponse) {
    if (waitMs <= context.stepMs() * MAX_WAIT_STEPS) {
      return false;
    }
    int retryAfterS = (int) Math.max(1, Math.ceil(waitMs / 1000.0));
    onResponse.accept(UserResponse.retryAfter(retryAfterS, "too many requests"));
    return true;
  }
}
