package eiderfork.controller;

import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.StoreKeys;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Delivers the heartbeats of a {@link SimulatedCluster}'s workers, with losses, delays, duplicates
 * and copies that are delivered to a later leader.
 */
final class FakeHeartbeats {
  private final SimulatedCluster cluster;
  private final List<eiderfork.model.Heartbeat> keptForNextLeader = new ArrayList<>();
  private StoredRecord lastLeadership;
  private long delayWindowEndMs;
  private long windowDelayMs;

  FakeHeartbeats(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Delays heartbeats sent within the next second by this time. */
  void delayNext(long durationMs) {
    delayWindowEndMs = cluster.nowMs + 1000;
    windowDelayMs = durationMs;
  }

  /** Delivers the copies kept for the next leader after a leader change. */
  void tick() {
    if (!keptForNextLeader.isEmpty() && cluster.store.get(StoreKeys.LEADER) != null) {
      if (lastLeadership != null && !lastLeadership.equals(cluster.store.get(StoreKeys.LEADER))) {
        for (eiderfork.model.Heartbeat heartbeat : keptForNextLeader) {
          cluster.controllers.keySet().forEach(node -> redeliver(node, heartbeat));
        }
        keptForNextLeader.clear();
      }
      lastLeadership = cluster.store.get(StoreKeys.LEADER);
    }
  }

  /** Sends a worker's heartbeat if it is due, sooner if the worker has changes to report. */
  void sendIfDue(FakeWorker worker) {
    if (worker.isDead || worker.isHanging || worker.awaitingResponse) {
      return;
    }
    boolean isDueEarly =
        worker.hasUnsentChanges
            && cluster.nowMs >= Math.min(worker.nextDueMs - 500, worker.lastSentMs + 1000);
    if (cluster.nowMs < worker.nextDueMs && !isDueEarly) {
      return;
    }
    worker.hasUnsentChanges = false;
    worker.awaitingResponse = true;
    worker.lastSentMs = cluster.nowMs;
    long intervalMs = (long) (cluster.settings.workerTimings().heartbeatS() * 1000);
    worker.nextDueMs = cluster.nowMs + intervalMs * 3 / 4 + cluster.random.nextLong(intervalMs / 2);
    long sentMs = cluster.nowMs;
    long incarnation = worker.incarnation();
    var heartbeat = worker.nextHeartbeat();
    String node = "roost-" + worker.nodeIndex;
    boolean[] done = {false};
    cluster.schedule(
        4000,
        () -> {
          if (!done[0]) {
            done[0] = true;
            worker.awaitingResponse = false;
            worker.nodeIndex = (worker.nodeIndex + 1) % cluster.nodeCount;
            worker.nextDueMs = cluster.nowMs + 1000;
          }
        });
    String name = worker.machine.name();
    String link = name + ">" + node;
    boolean isBlocked =
        cluster.isCut("*", node) || cluster.isCut(name, node) || cluster.oneWayCuts.contains(link);
    if (cluster.random.nextDouble() < cluster.repeatedHeartbeatProbability) {
      long leaseMs = (long) (cluster.settings.workerTimings().leaseS() * 1000);
      cluster.schedule(
          2000 + cluster.random.nextLong(leaseMs * 3 / 2), () -> redeliver(node, heartbeat));
    }
    if (cluster.random.nextDouble() < cluster.nextLeaderHeartbeatProbability) {
      keptForNextLeader.add(heartbeat);
    }
    int copies = cluster.random.nextDouble() < cluster.duplicateProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long holdMs = cluster.nowMs < delayWindowEndMs ? windowDelayMs : 0;
      holdMs = Math.max(holdMs, cluster.heldUntilMs.getOrDefault(link, 0L) - cluster.nowMs);
      long delayMs = isBlocked ? -1 : cluster.delayMs(name, node);
      if (delayMs < 0) {
        continue;
      }
      cluster.schedule(
          holdMs + delayMs,
          () ->
              cluster.sendRequest(
                  node,
                  ticket -> new Input.WorkerHeartbeat(ticket, heartbeat),
                  effect -> {
                    long backMs = cluster.isCut(node, "*") ? -1 : cluster.delayMs(node, name);
                    if (backMs >= 0) {
                      cluster.schedule(
                          backMs, () -> deliverResponse(worker, done, sentMs, incarnation, effect));
                    }
                  }));
    }
  }

  /** Delivers an old copy of a heartbeat; its response is dropped. */
  private void redeliver(String node, eiderfork.model.Heartbeat heartbeat) {
    cluster.sendRequest(node, ticket -> new Input.WorkerHeartbeat(ticket, heartbeat), effect -> {});
  }

  private void deliverResponse(
      FakeWorker worker, boolean[] done, long sentMs, long incarnation, Effect effect) {
    if (done[0] || worker.isDead || worker.isHanging) {
      return;
    }
    done[0] = true;
    worker.awaitingResponse = false;
    if (effect instanceof Effect.RespondToWorker workerResponse) {
      worker.handleResponse(
          sentMs, incarnation, workerResponse.fencingToken(), workerResponse.commands());
    } else if (effect instanceof Effect.RedirectWorker redirect) {
      if (redirect.leader() != null && !redirect.leader().equals("roost-" + worker.nodeIndex)) {
        worker.nodeIndex = redirect.leader().charAt(redirect.leader().length() - 1) - '0';
        worker.nextDueMs = cluster.nowMs + cluster.random.nextLong(500);
      } else {
        worker.nodeIndex = (worker.nodeIndex + 1) % cluster.nodeCount;
        worker.nextDueMs = cluster.nowMs + 1000;
      }
    }
  }
}
