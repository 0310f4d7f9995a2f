package eiderfork.controller;

import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.StoreKeys;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * The heartbeats of a {@link SimulatedCluster}'s workers on their way: lost, late, doubled, or kept
 * for later.
 */
final class FakeHeartbeats {
  private final SimulatedCluster world;
  private final List<eiderfork.model.Heartbeat> keptForNextLeader = new ArrayList<>();
  private StoredRecord leadership;
  private long holdHeartbeatsUntilMs;
  private long heldForMs;

  FakeHeartbeats(SimulatedCluster world) {
    this.world = world;
  }

  /** Reports of the next second are held up for this long. */
  void holdNext(long forMs) {
    holdHeartbeatsUntilMs = world.nowMs + 1000;
    heldForMs = forMs;
  }

  /** Brings what was kept for the next leader once there is one. */
  void tick() {
    if (!keptForNextLeader.isEmpty() && world.state.get(StoreKeys.LEADER) != null) {
      if (leadership != null && !leadership.equals(world.state.get(StoreKeys.LEADER))) {
        for (eiderfork.model.Heartbeat heartbeat : keptForNextLeader) {
          world.nodes.keySet().forEach(node -> deliverAgain(node, heartbeat));
        }
        keptForNextLeader.clear();
      }
      leadership = world.state.get(StoreKeys.LEADER);
    }
  }

  void sendIfDue(FakeWorker worker) {
    if (worker.dead || worker.hanging || worker.awaitingResponse) {
      return;
    }
    boolean early =
        worker.changed
            && world.nowMs >= Math.min(worker.nextHeartbeatMs - 500, worker.lastHeartbeatMs + 1000);
    if (world.nowMs < worker.nextHeartbeatMs && !early) {
      return;
    }
    worker.changed = false;
    worker.awaitingResponse = true;
    worker.lastHeartbeatMs = world.nowMs;
    long intervalMs = (long) (world.settings.workerTimings().heartbeatS() * 1000);
    worker.nextHeartbeatMs =
        world.nowMs + intervalMs * 3 / 4 + world.random.nextLong(intervalMs / 2);
    long sentMs = world.nowMs;
    long incarnation = worker.incarnation();
    var heartbeat = worker.nextHeartbeat();
    String node = "roost-" + worker.nodeIndex;
    boolean[] over = {false};
    world.at(
        4000,
        () -> {
          if (!over[0]) {
            over[0] = true;
            worker.awaitingResponse = false;
            worker.nodeIndex = (worker.nodeIndex + 1) % world.count;
            worker.nextHeartbeatMs = world.nowMs + 1000;
          }
        });
    String name = worker.machine.name();
    String link = name + ">" + node;
    boolean cutOff =
        world.isCut("*", node) || world.isCut(name, node) || world.openCuts.contains(link);
    if (world.random.nextDouble() < world.lateReports) {
      long leaseMs = (long) (world.settings.workerTimings().leaseS() * 1000);
      world.at(2000 + world.random.nextLong(leaseMs * 3 / 2), () -> deliverAgain(node, heartbeat));
    }
    if (world.random.nextDouble() < world.heartbeatsForNextLeader) {
      keptForNextLeader.add(heartbeat);
    }
    int copies = world.random.nextDouble() < world.doubled ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long heldMs = world.nowMs < holdHeartbeatsUntilMs ? heldForMs : 0;
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
                  ticket -> new Input.WorkerReport(ticket, heartbeat),
                  effect -> {
                    long back = world.isCut(node, "*") ? -1 : world.delay(node, name);
                    if (back >= 0) {
                      world.at(
                          back, () -> deliverResponse(worker, over, sentMs, incarnation, effect));
                    }
                  }));
    }
  }

  /** An old copy; whatever it is answered reaches nobody. */
  private void deliverAgain(String node, eiderfork.model.Heartbeat heartbeat) {
    world.ask(node, ticket -> new Input.WorkerReport(ticket, heartbeat), effect -> {});
  }

  private void deliverResponse(
      FakeWorker worker, boolean[] over, long sentMs, long incarnation, Effect effect) {
    if (over[0] || worker.dead || worker.hanging) {
      return;
    }
    over[0] = true;
    worker.awaitingResponse = false;
    if (effect instanceof Effect.RespondToWorker it) {
      worker.handleResponse(sentMs, incarnation, it.fencingToken(), it.commands());
    } else if (effect instanceof Effect.RedirectWorker it) {
      if (it.leader() != null && !it.leader().equals("roost-" + worker.nodeIndex)) {
        worker.nodeIndex = it.leader().charAt(it.leader().length() - 1) - '0';
        worker.nextHeartbeatMs = world.nowMs + world.random.nextLong(500);
      } else {
        worker.nodeIndex = (worker.nodeIndex + 1) % world.count;
        worker.nextHeartbeatMs = world.nowMs + 1000;
      }
    }
  }
}
