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
 * Executes the effects of a {@link SimulatedCluster}'s controllers: delivers calls and responses to
 * their receivers, and the replies to the controllers.
 */
final class FakeNetwork {
  private final SimulatedCluster cluster;

  FakeNetwork(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Returns the delay of a message, or -1 if it is lost. */
  long delayMs(String from, String to) {
    if (cluster.isCut(from, to) || cluster.random.nextDouble() < cluster.lossProbability) {
      return -1;
    }
    SimulatedCluster.Interruption interruption = cluster.interruptions.get(from + ">" + to);
    if (interruption != null) {
      boolean isLost = interruption.isConnectionUsed;
      interruption.isConnectionUsed = true;
      return isLost ? -1 : interruption.endMs - cluster.nowMs;
    }
    return cluster.random.nextDouble() < cluster.delayProbability
        ? 1 + cluster.random.nextLong(cluster.maxDelayMs)
        : 1 + cluster.random.nextLong(10);
  }

  private interface Service {
    void serve(Consumer<Reply> onComplete);
  }

  /**
   * Sends a call: the request and the reply may each be lost or delayed, the request may also be
   * delivered twice.
   */
  private void call(String node, Effect.Call call, String to, Service service) {
    int epoch = cluster.processEpochs.get(node);
    boolean[] isCompleted = {false};
    Consumer<Reply> complete =
        reply -> {
          if (!isCompleted[0] && cluster.processEpochs.get(node) == epoch) {
            isCompleted[0] = true;
            cluster.deliver(node, new Input.CallCompleted(call.callId(), reply));
          }
        };
    cluster.schedule(call.timeoutMs(), () -> complete.accept(new Reply.Unanswered()));
    int copies = cluster.random.nextDouble() < cluster.duplicateProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long requestDelayMs = delayMs(node, to);
      if (requestDelayMs >= 0) {
        cluster.schedule(
            requestDelayMs,
            () ->
                service.serve(
                    reply -> {
                      long replyDelayMs = delayMs(to, node);
                      if (replyDelayMs >= 0) {
                        cluster.schedule(replyDelayMs, () -> complete.accept(reply));
                      }
                    }));
      }
    }
  }

  void execute(String node, Effect effect) {
    if (effect instanceof Effect.CallStore storeCall) {
      if (storeCall.request() instanceof StoreRequest.Transaction
          && cluster.random.nextDouble() < cluster.lateTransactionProbability) {
        cluster.schedule(
            2000 + cluster.random.nextLong(10_000),
            () -> cluster.store.execute(storeCall.request(), cluster.nowMs, reply -> {}));
        call(node, storeCall, "nowhere", onComplete -> {});
      } else if (storeCall.request() instanceof StoreRequest.Transaction
          && cluster.random.nextDouble() < cluster.lostStoreReplyProbability) {
        call(
            node,
            storeCall,
            "state",
            onComplete -> cluster.storeAccess.serve(node, storeCall.request(), reply -> {}));
      } else {
        call(
            node,
            storeCall,
            "state",
            onComplete -> cluster.storeAccess.serve(node, storeCall.request(), onComplete));
      }
    } else if (effect instanceof Effect.ListMachineTypes typesCall) {
      callCloud(node, typesCall, () -> new Reply.Types(cluster.cloud.types));
    } else if (effect instanceof Effect.RentMachines rentCall) {
      callCloud(node, rentCall, () -> cluster.cloud.rent(rentCall.intent(), cluster.nowMs));
    } else if (effect instanceof Effect.ReturnMachines returnCall) {
      callCloud(
          node,
          returnCall,
          () -> {
            returnCall.machines().forEach(name -> cluster.cloud.returnHost(name, cluster.nowMs));
            return new Reply.Returned();
          });
    } else if (effect instanceof Effect.ListMachines listCall) {
      callCloud(node, listCall, () -> cluster.cloud.listHosts(listCall.after(), cluster.nowMs));
    } else if (effect instanceof Effect.SendCommands sendCall) {
      callWorker(
          node,
          sendCall,
          sendCall.address(),
          cluster.commandDelayMs,
          worker -> {
            boolean executed =
                worker.handleDirectCommands(
                    sendCall.fencingToken(), sendCall.incarnation(), sendCall.commands());
            return new Reply.WorkerReply(executed, worker.nextHeartbeat());
          });
    } else if (effect instanceof Effect.InspectWorker inspectCall) {
      callWorker(
          node,
          inspectCall,
          inspectCall.address(),
          0,
          worker -> new Reply.WorkerReply(true, worker.nextHeartbeat()));
    } else if (effect instanceof Effect.Response response) {
      Consumer<Effect> onComplete = cluster.responseHandlers.remove(response.ticket());
      if (onComplete != null) {
        onComplete.accept(effect);
      }
    } else {
      callPeer(node, effect);
    }
  }

  private void callPeer(String node, Effect effect) {
    if (effect instanceof Effect.PingPeer pingCall) {
      call(
          node,
          pingCall,
          pingCall.node(),
          peerService(
              pingCall.node(),
              ticket -> new Input.PeerPing(ticket, pingCall.status()),
              response -> new Reply.PeerPong(((Effect.RespondToPing) response).status())));
    } else if (effect instanceof Effect.ForwardRequest requestCall) {
      call(
          node,
          requestCall,
          requestCall.node(),
          peerService(
              requestCall.node(),
              ticket -> new Input.PeerRequest(ticket, requestCall.request()),
              response ->
                  new Reply.ForwardedResponse(((Effect.RespondToUser) response).response())));
    } else if (effect instanceof Effect.SendHints hintsCall) {
      Service refusal = onComplete -> onComplete.accept(new Reply.Refused(404));
      Service acknowledgement =
          peerService(
              hintsCall.node(),
              ticket -> new Input.PeerHints(ticket, hintsCall.hints()),
              response -> new Reply.HintsAcknowledged());
      Service service =
          onComplete ->
              (cluster.olderVersionNodes.contains(hintsCall.node()) ? refusal : acknowledgement)
                  .serve(onComplete);
      call(node, hintsCall, hintsCall.node(), service);
    } else if (effect instanceof Effect.ForwardQueries queriesCall) {
      call(
          node,
          queriesCall,
          queriesCall.node(),
          peerService(
              queriesCall.node(),
              ticket -> new Input.PeerQueries(ticket, queriesCall.uids()),
              response ->
                  new Reply.ForwardedResponses(((Effect.RespondToQueries) response).responses())));
    }
  }

  /** Returns a service that delivers an input to a peer and converts its response to a reply. */
  private Service peerService(
      String peer, LongFunction<Input> input, Function<Effect, Reply> reply) {
    return onComplete ->
        cluster.sendRequest(peer, input, response -> onComplete.accept(reply.apply(response)));
  }

  private void callCloud(String node, Effect.Call call, Supplier<Reply> answer) {
    call(
        node,
        call,
        "cloud",
        onComplete ->
            onComplete.accept(cluster.cloud.isDown ? new Reply.Refused(503) : answer.get()));
  }

  private void callWorker(
      String node,
      Effect.Call call,
      String address,
      long extraDelayMs,
      Function<FakeWorker, Reply> answer) {
    String name = address.substring(0, address.indexOf(':'));
    String to = cluster.isCut(node, "*") ? "*" : name;
    call(
        node,
        call,
        to,
        onComplete -> cluster.schedule(extraDelayMs, () -> deliver(name, answer, onComplete)));
  }

  private void deliver(
      String name, Function<FakeWorker, Reply> answer, Consumer<Reply> onComplete) {
    FakeCloud.Host host = cluster.cloud.host(name);
    if (host == null || host.worker == null || host.worker.isDead) {
      return;
    }
    if (host.worker.isHanging) {
      // The request waits until the machine resumes.
      cluster.schedule(SimulatedCluster.TICK_MS, () -> deliver(name, answer, onComplete));
    } else {
      onComplete.accept(answer.apply(host.worker));
    }
  }

  /** Cuts a zone's machines and one controller off from the other controllers and the store. */
  void isolateZone(String zone, String insideNode, long durationMs) {
    for (int i = 0; i < cluster.nodeCount; i++) {
      String node = "roost-" + i;
      if (node.equals(insideNode)) {
        continue;
      }
      cluster.cutLink(node + ">" + insideNode, durationMs);
      cluster.cutLink(insideNode + ">" + node, durationMs);
      for (FakeWorker worker : cluster.workers()) {
        if (worker.machine.zone().equals(zone)) {
          cluster.cutLink(node + ">" + worker.machine.name(), durationMs);
          cluster.cutLink(worker.machine.name() + ">" + node, durationMs);
        }
      }
    }
    cluster.cutLink(insideNode + ">state", durationMs);
    cluster.cutLink("state>" + insideNode, durationMs);
  }

  /** Partitions the two zones; both still reach the store, the cloud and the users. */
  void splitZones(long durationMs) {
    forEachLinkBetweenZones(link -> cluster.cutLink(link, durationMs));
  }

  /** Partitions the two zones; what was sent on open connections arrives when they meet again. */
  void interruptZones(long durationMs) {
    forEachLinkBetweenZones(link -> cluster.interruptLink(link, durationMs));
  }

  private void forEachLinkBetweenZones(Consumer<String> action) {
    for (int i = 0; i < cluster.nodeCount; i++) {
      for (int j = 0; j < cluster.nodeCount; j++) {
        if (!TestFixtures.zone(i, cluster.nodeCount)
            .equals(TestFixtures.zone(j, cluster.nodeCount))) {
          action.accept("roost-" + i + ">roost-" + j);
        }
      }
      for (FakeWorker worker : cluster.workers()) {
        if (!worker.machine.zone().equals(TestFixtures.zone(i, cluster.nodeCount))) {
          action.accept("roost-" + i + ">" + worker.machine.name());
          action.accept(worker.machine.name() + ">roost-" + i);
        }
      }
    }
  }
}
