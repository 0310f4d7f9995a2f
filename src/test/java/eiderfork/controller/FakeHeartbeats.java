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
  private final SimulatedCluster cluster;
  private final List<eiderfork.model.Heartbeat> keptForNextLeader = new ArrayList<>();
  private StoredRecord leadership;
  private long holdHeartbeatsUntilMs;
  private long heldForMs;

  FakeHeartbeats(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Reports of the next second are held up for this long. */
  void delayNext(long forMs) {
    holdHeartbeatsUntilMs = cluster.nowMs + 1000;
    heldForMs = forMs;
  }

  /** Brings what was kept for the next leader once there is one. */
  void tick() {
    if (!keptForNextLeader.isEmpty() && cluster.store.get(StoreKeys.LEADER) != null) {
      if (leadership != null && !leadership.equals(cluster.store.get(StoreKeys.LEADER))) {
        for (eiderfork.model.Heartbeat heartbeat : keptForNextLeader) {
          cluster.controllers.keySet().forEach(node -> deliverAgain(node, heartbeat));
        }
        keptForNextLeader.clear();
      }
      leadership = cluster.store.get(StoreKeys.LEADER);
    }
  }

  void sendIfDue(FakeWorker worker) {
    if (worker.isDead || worker.isHanging || worker.awaitingResponse) {
      return;
    }
    boolean early =
        worker.hasUnsentChanges
            && cluster.nowMs
                >= Math.min(worker.nextHeartbeatMs - 500, worker.lastHeartbeatMs + 1000);
    if (cluster.nowMs < worker.nextHeartbeatMs && !early) {
      return;
    }
    worker.hasUnsentChanges = false;
    worker.awaitingResponse = true;
    worker.lastHeartbeatMs = cluster.nowMs;
    long intervalMs = (long) (cluster.settings.workerTimings().heartbeatS() * 1000);
    worker.nextHeartbeatMs =
        cluster.nowMs + intervalMs * 3 / 4 + cluster.random.nextLong(intervalMs / 2);
    long sentMs = cluster.nowMs;
    long incarnation = worker.incarnation();
    var heartbeat = worker.nextHeartbeat();
    String node = "roost-" + worker.nodeIndex;
    boolean[] over = {false};
    cluster.schedule(
        4000,
        () -> {
          if (!over[0]) {
            over[0] = true;
            worker.awaitingResponse = false;
            worker.nodeIndex = (worker.nodeIndex + 1) % cluster.nodeCount;
            worker.nextHeartbeatMs = cluster.nowMs + 1000;
          }
        });
    String name = worker.machine.name();
    String link = name + ">" + node;
    boolean cutOff =
        cluster.isCut("*", node)
            || cluster.isCut(name, node)
            || cluster.blockedConnections.contains(link);
    if (cluster.random.nextDouble() < cluster.repeatedHeartbeatProbability) {
      long leaseMs = (long) (cluster.settings.workerTimings().leaseS() * 1000);
      cluster.schedule(
          2000 + cluster.random.nextLong(leaseMs * 3 / 2), () -> deliverAgain(node, heartbeat));
    }
    if (cluster.random.nextDouble() < cluster.nextLeaderHeartbeatProbability) {
      keptForNextLeader.add(heartbeat);
    }
    int copies = cluster.random.nextDouble() < cluster.duplicateProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long heldMs = cluster.nowMs < holdHeartbeatsUntilMs ? heldForMs : 0;
      heldMs =
          Math.max(heldMs, cluster.heartbeatsHeldUntilMs.getOrDefault(link, 0L) - cluster.nowMs);
      long delay = cutOff ? -1 : cluster.messageDelayMs(name, node);
      if (delay < 0) {
        continue;
      }
      cluster.schedule(
          heldMs + delay,
          () ->
              cluster.sendRequest(
                  node,
                  ticket -> new Input.WorkerReport(ticket, heartbeat),
                  effect -> {
                    long back = cluster.isCut(node, "*") ? -1 : cluster.messageDelayMs(node, name);
                    if (back >= 0) {
                      cluster.schedule(
                          back, () -> deliverResponse(worker, over, sentMs, incarnation, effect));
                    }
                  }));
    }
  }

  /** An old copy; whatever it is answered reaches nobody. */
  private void deliverAgain(String node, eiderfork.model.Heartbeat heartbeat) {
    cluster.sendRequest(node, ticket -> new Input.WorkerReport(ticket, heartbeat), effect -> {});
  }

  private void deliverResponse(
      FakeWorker worker, boolean[] over, long sentMs, long incarnation, Effect effect) {
    if (over[0] || worker.isDead || worker.isHanging) {
      return;
    }
    over[0] = true;
    worker.awaitingResponse = false;
    if (effect instanceof Effect.RespondToWorker it) {
      worker.handleResponse(sentMs, incarnation, it.fencingToken(), it.commands());
    } else if (effect instanceof Effect.RedirectWorker it) {
      if (it.leader() != null && !it.leader().equals("roost-" + worker.nodeIndex)) {
        worker.nodeIndex = it.leader().charAt(it.leader().length() - 1) - '0';
        worker.nextHeartbeatMs = cluster.nowMs + cluster.random.nextLong(500);
      } else {
        worker.nodeIndex = (worker.nodeIndex + 1) % cluster.nodeCount;
        worker.nextHeartbeatMs = cluster.nowMs + 1000;
      }
    }
  }
}
