package eiderfork.controller.standby;

import eiderfork.controller.context.ControllerContext;
import java.util.ArrayList;
import java.util.List;

/** Runs actions after a delay. Actions that are due at the same tick run in scheduling order. */
final class DelayedActions {
  private record DelayedAction(long dueMs, Runnable action) {}

  private final ControllerContext context;
  private final List<DelayedAction> scheduled = new ArrayList<>();

  /** Creates a schedule without actions. */
  DelayedActions(ControllerContext context) {
    this.context = context;
  }

  /** Schedules an action for the first tick after the delay. */
  void schedule(long delayMs, Runnable action) {
    scheduled.add(new DelayedAction(context.nowMs() + delayMs, action));
  }

  /** Runs the actions that are due. Actions that they schedule run at a later tick. */
  void tick() {
    if (scheduled.isEmpty()) {
      return;
    }
    List<DelayedAction> due = new ArrayList<>();
    scheduled.removeIf(delayed -> delayed.dueMs <= context.nowMs() && due.add(delayed));
    due.forEach(delayed -> delayed.action.run());
  }

  /** Cancels all scheduled actions. */
  void clear() {
    scheduled.clear();
  }
}
