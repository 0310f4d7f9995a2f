package eiderfork.controller.standby;

import eiderfork.controller.context.ControllerContext;
import java.util.ArrayList;
import java.util.List;

/** Actions that are run after a delay, in the order in which they were scheduled. */
final class DelayedActions {
  private record DelayedAction(long dueMs, Runnable action) {}

  private final ControllerContext context;
  private final List<DelayedAction> scheduled = new ArrayList<>();

  /** Makes a schedule without actions. */
  DelayedActions(ControllerContext context) {
    this.context = context;
  }

  /** Has an action run at the first tick after the delay. */
  void schedule(long delayMs, Runnable action) {
    scheduled.add(new DelayedAction(context.nowMs() + delayMs, action));
  }

  /** Runs what is due; what that schedules is run at a later tick. */
  void tick() {
    if (scheduled.isEmpty()) {
      return;
    }
    List<DelayedAction> due = new ArrayList<>();
    scheduled.removeIf(delayed -> delayed.dueMs <= context.nowMs() && due.add(delayed));
    due.forEach(delayed -> delayed.action.run());
  }

  /** Runs none of what is scheduled. */
  void clear() {
    scheduled.clear();
  }
}
