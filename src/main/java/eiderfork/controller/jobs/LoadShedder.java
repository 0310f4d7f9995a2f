package eiderfork.controller.jobs;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.UserResponse;
import java.util.function.Consumer;

/** Rejects requests that would wait too long in the queue of store requests. */
final class LoadShedder {
  /** The maximum queueing time of a request, in steps. */
  private static final double MAX_WAIT_STEPS = 0.8;

  private final ControllerContext context;

  /** Creates a load shedder, which keeps no state. */
  LoadShedder(ControllerContext context) {
    this.context = context;
  }

  /**
   * Rejects a request if its expected queueing time is too long.
   *
   * @return whether the request was rejected
   */
  boolean rejectIfOverloaded(long expectedWaitMs, Consumer<UserResponse> onResponse) {
    if (expectedWaitMs <= context.stepMs() * MAX_WAIT_STEPS) {
      return false;
    }
    int retryAfterS = (int) Math.max(1, Math.ceil(expectedWaitMs / 1000.0));
    onResponse.accept(UserResponse.retryAfter(retryAfterS, "too many requests"));
    return true;
  }
}
