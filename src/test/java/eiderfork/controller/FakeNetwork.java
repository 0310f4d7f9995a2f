package eiderfork.controller;

import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * Carries the effects of a {@link SimulatedCluster}'s controllers to the other parties, and answers
 * back.
 */
final class FakeNetwork {
  private final SimulatedCluster cluster;

  FakeNetwork(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** How long a message takes; -1 where it is lost. */
  long messageDelayMs(String from, String to) {
    if (cluster.isCut(from, to) || cluster.random.nextDouble() < cluster.lossProbability) {
      return -1;
    }
    return cluster.random.nextDouble() < cluster.delayProbability
        ? 1 + cluster.random.nextLong(cluster.maxDelayMs)
        : 1 + cluster.random.nextLong(10);
  }

  private interface Service {
    void serve(Consumer<Reply> onComplete);
  }

  /**
   * Carries a call out: request and reply each may be lost, world.late or, the request,
   * world.doubled.
   */
  private void call(String node, Effect.Call call, String to, Service service) {
    int life = cluster.processEpochs.get(node);
    boolean[] over = {false};
    Consumer<Reply> back =
        reply -> {
          if (!over[0] && cluster.processEpochs.get(node) == life) {
            over[0] = true;
            cluster.deliver(node, new Input.Answered(call.callId(), reply));
          }
        };
    cluster.schedule(call.timeoutMs(), () -> back.accept(new Reply.Unanswered()));
    int copies = cluster.random.nextDouble() < cluster.duplicateProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = messageDelayMs(node, to);
      if (delay >= 0) {
        cluster.schedule(
            delay,
            () ->
                service.serve(
                    reply -> {
                      long backDelay = messageDelayMs(to, node);
                      if (backDelay >= 0) {
                        cluster.schedule(backDelay, () -> back.accept(reply));
                      }
                    }));
      }
    }
  }

  void carryOut(String node, Effect effect) {
    if (effect instanceof Effect.CallStore it) {
      if (it.request() instanceof StoreRequest.Transaction
          && cluster.random.nextDouble() < cluster.lateTransactionProbability) {
        cluster.schedule(
            2000 + cluster.random.nextLong(10_000),
            () -> cluster.store.execute(it.request(), cluster.nowMs, reply -> {}));
        call(node, it, "nowhere", onComplete -> {});
      } else if (it.request() instanceof StoreRequest.Transaction
          && cluster.random.nextDouble() < cluster.lostStoreReplyProbability) {
        call(
            node,
            it,
            "state",
            onComplete -> cluster.storeAccess.serve(node, it.request(), reply -> {}));
      } else {
        call(
            node,
            it,
            "state",
            onComplete -> cluster.storeAccess.serve(node, it.request(), onComplete));
      }
    } else if (effect instanceof Effect.ListMachineTypes it) {
      askCloud(node, it, () -> new Reply.Types(cluster.cloud.types));
    } else if (effect instanceof Effect.RentMachines it) {
      askCloud(node, it, () -> cluster.cloud.rent(it.rent(), cluster.nowMs));
    } else if (effect instanceof Effect.ReturnMachines it) {
      askCloud(
          node,
          it,
          () -> {
            it.machines().forEach(name -> cluster.cloud.returnHost(name, cluster.nowMs));
            return new Reply.Returned();
          });
    } else if (effect instanceof Effect.ListHosts it) {
      askCloud(node, it, () -> cluster.cloud.list(it.after(), cluster.nowMs));
    } else if (effect instanceof Effect.SendCommands it) {
      worker(
          node,
          it,
          it.address(),
          cluster.commandDelayMs,
          w -> {
            boolean executed =
                w.handleDirectCommands(it.fencingToken(), it.incarnation(), it.commands());
            return new Reply.WorkerReply(executed, w.nextHeartbeat());
          });
    } else if (effect instanceof Effect.InspectWorker it) {
      worker(node, it, it.address(), 0, w -> new Reply.WorkerReply(true, w.nextHeartbeat()));
    } else if (effect instanceof Effect.Response it) {
      Consumer<Effect> onComplete = cluster.responseHandlers.remove(it.ticket());
      if (onComplete != null) {
        onComplete.accept(effect);
      }
    } else {
      callPeer(node, effect);
    }
  }

  private void callPeer(String node, Effect effect) {
    if (effect instanceof Effect.PingPeer it) {
      call(
          node,
          it,
          it.node(),
          askPeer(
              it.node(),
              ticket -> new Input.PeerPing(ticket, it.status()),
              said -> new Reply.PeerPong(((Effect.RespondToPing) said).status())));
    } else if (effect instanceof Effect.ForwardRequest it) {
      call(
          node,
          it,
          it.node(),
          askPeer(
              it.node(),
              ticket -> new Input.PeerRequest(ticket, it.request()),
              said -> new Reply.ForwardedResponse(((Effect.RespondToUser) said).response())));
    } else if (effect instanceof Effect.SendHints it) {
      Service refusing = onComplete -> onComplete.accept(new Reply.Refused(404));
      Service acknowledging =
          askPeer(
              it.node(),
              ticket -> new Input.PeerHints(ticket, it.hints()),
              said -> new Reply.HintsAcknowledged());
      Service either =
          onComplete ->
              (cluster.olderVersionNodes.contains(it.node()) ? refusing : acknowledging)
                  .serve(onComplete);
      call(node, it, it.node(), either);
    } else if (effect instanceof Effect.ForwardQueries it) {
      call(
          node,
          it,
          it.node(),
          askPeer(
              it.node(),
              ticket -> new Input.PeerQueries(ticket, it.uids()),
              said -> new Reply.ForwardedResponses(((Effect.RespondToQueries) said).responses())));
    }
  }

  /** What a peer says to an input, as the reply to a call. */
  private Service askPeer(String peer, LongFunction<Input> input, Function<Effect, Reply> reply) {
    return onComplete ->
        cluster.sendRequest(peer, input, said -> onComplete.accept(reply.apply(said)));
  }

  private void askCloud(String node, Effect.Call call, Supplier<Reply> answer) {
    call(
        node,
        call,
        "cloud",
        onComplete ->
            onComplete.accept(cluster.cloud.isDown ? new Reply.Refused(503) : answer.get()));
  }

  private void worker(
      String node, Effect.Call call, String addr, long lateMs, Function<FakeWorker, Reply> answer) {
    String name = addr.substring(0, addr.indexOf(':'));
    String to = cluster.isCut(node, "*") ? "*" : name;
    call(
        node,
        call,
        to,
        onComplete -> cluster.schedule(lateMs, () -> deliver(name, answer, onComplete)));
  }

  private void deliver(
      String name, Function<FakeWorker, Reply> answer, Consumer<Reply> onComplete) {
    FakeCloud.Host host = cluster.cloud.host(name);
    if (host == null || host.worker == null || host.worker.isDead) {
      return;
    }
    if (host.worker.isHanging) {
      // Held until the machine goes on.
      cluster.schedule(SimulatedCluster.TICK_MS, () -> deliver(name, answer, onComplete));
    } else {
      onComplete.accept(answer.apply(host.worker));
    }
  }

  /** A zone's machines and one controller are cut off from the other controllers and the cloud. */
  void isolateZone(String zone, String inside, long forMs) {
    for (int i = 0; i < cluster.nodeCount; i++) {
      String node = "roost-" + i;
      if (node.equals(inside)) {
        continue;
      }
      cluster.cutLink(node + ">" + inside, forMs);
      cluster.cutLink(inside + ">" + node, forMs);
      for (FakeWorker worker : cluster.workers()) {
        if (worker.machine.zone().equals(zone)) {
          cluster.cutLink(node + ">" + worker.machine.name(), forMs);
          cluster.cutLink(worker.machine.name() + ">" + node, forMs);
        }
      }
    }
    cluster.cutLink(inside + ">state", forMs);
    cluster.cutLink("state>" + inside, forMs);
  }

  /** Two zones can't reach each other; both reach the store, the cloud and the users. */
  void splitZones(long forMs) {
    for (int i = 0; i < cluster.nodeCount; i++) {
      for (int j = 0; j < cluster.nodeCount; j++) {
        if (!TestFixtures.zone(i, cluster.nodeCount)
            .equals(TestFixtures.zone(j, cluster.nodeCount))) {
          cluster.cutLink("roost-" + i + ">roost-" + j, forMs);
        }
      }
      for (FakeWorker worker : cluster.workers()) {
        if (!worker.machine.zone().equals(TestFixtures.zone(i, cluster.nodeCount))) {
          cluster.cutLink("roost-" + i + ">" + worker.machine.name(), forMs);
          cluster.cutLink(worker.machine.name() + ">roost-" + i, forMs);
        }
      }
    }
  }
}
