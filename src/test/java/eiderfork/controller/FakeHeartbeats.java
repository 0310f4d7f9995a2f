package eiderfork.controller;

import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.StoreKeys;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * The reports of a {@link SimulatedCluster}'s workers on their way: lost, late, doubled, or kept
 * for later.
 */
final class FakeHeartbeats {
  private final SimulatedCluster world;
  private final List<eiderfork.model.Heartbeat> kept = new ArrayList<>();
  private StoredRecord leadership;
  private long holdReportsUntilMs;
  private long reportsHeldMs;

  FakeHeartbeats(SimulatedCluster world) {
    this.world = world;
  }

  /** Reports of the next second are held up for this long. */
  void holdNext(long forMs) {
    holdReportsUntilMs = world.nowMs + 1000;
    reportsHeldMs = forMs;
  }

  /** Brings what was kept for the next leader once there is one. */
  void tick() {
    if (!kept.isEmpty() && world.state.get(StoreKeys.LEADER) != null) {
      if (leadership != null && !leadership.equals(world.state.get(StoreKeys.LEADER))) {
        for (eiderfork.model.Heartbeat report : kept) {
          world.nodes.keySet().forEach(node -> arrivesAgain(node, report));
        }
        kept.clear();
      }
      leadership = world.state.get(StoreKeys.LEADER);
    }
  }

  void sendIfDue(FakeWorker w) {
    if (w.dead || w.hanging || w.waiting) {
      return;
    }
    boolean early = w.changed && world.nowMs >= Math.min(w.nextReportMs - 500, w.reportedMs + 1000);
    if (world.nowMs < w.nextReportMs && !early) {
      return;
    }
    w.changed = false;
    w.waiting = true;
    w.reportedMs = world.nowMs;
    long reportMs = (long) (world.settings.workers().reportS() * 1000);
    w.nextReportMs = world.nowMs + reportMs * 3 / 4 + world.random.nextLong(reportMs / 2);
    long sentMs = world.nowMs;
    long session = w.session();
    var report = w.report();
    String node = "roost-" + w.node;
    boolean[] over = {false};
    world.at(
        4000,
        () -> {
          if (!over[0]) {
            over[0] = true;
            w.waiting = false;
            w.node = (w.node + 1) % world.count;
            w.nextReportMs = world.nowMs + 1000;
          }
        });
    String name = w.machine.name();
    String link = name + ">" + node;
    boolean cutOff =
        world.isCut("*", node) || world.isCut(name, node) || world.openCuts.contains(link);
    if (world.random.nextDouble() < world.lateReports) {
      long leaseMs = (long) (world.settings.workers().leaseS() * 1000);
      world.at(2000 + world.random.nextLong(leaseMs * 3 / 2), () -> arrivesAgain(node, report));
    }
    if (world.random.nextDouble() < world.reportsForNext) {
      kept.add(report);
    }
    int copies = world.random.nextDouble() < world.doubled ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long heldMs = world.nowMs < holdReportsUntilMs ? reportsHeldMs : 0;
      heldMs = Math.max(heldMs, world.heldUntilMs.getOrDefault(link, 0L) - world.nowMs);
      long delay = cutOff ? -1 : world.delay(name, node);
      if (delay < 0) {
        continue;
      }
      world.at(
          heldMs + delay,
          () ->
              world.ask(
                  node,
                  ticket -> new Input.WorkerReport(ticket, report),
                  effect -> {
                    long back = world.isCut(node, "*") ? -1 : world.delay(node, name);
                    if (back >= 0) {
                      world.at(back, () -> reported(w, over, sentMs, session, effect));
                    }
                  }));
    }
  }

  /** An old copy; whatever it is answered reaches nobody. */
  private void arrivesAgain(String node, eiderfork.model.Heartbeat report) {
    world.ask(node, ticket -> new Input.WorkerReport(ticket, report), effect -> {});
  }

  private void reported(FakeWorker w, boolean[] over, long sentMs, long session, Effect effect) {
    if (over[0] || w.dead || w.hanging) {
      return;
    }
    over[0] = true;
    w.waiting = false;
    if (effect instanceof Effect.AnswerWorker it) {
      w.answered(sentMs, session, it.token(), it.commands());
    } else if (effect instanceof Effect.RedirectWorker it) {
      if (it.leader() != null && !it.leader().equals("roost-" + w.node)) {
        w.node = it.leader().charAt(it.leader().length() - 1) - '0';
        w.nextReportMs = world.nowMs + world.random.nextLong(500);
      } else {
        w.node = (w.node + 1) % world.count;
        w.nextReportMs = world.nowMs + 1000;
      }
    }
  }
}
