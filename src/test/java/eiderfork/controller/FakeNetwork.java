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
  private final SimulatedCluster world;

  FakeNetwork(SimulatedCluster world) {
    this.world = world;
  }

  /** How long a message takes; -1 where it is lost. */
  long delay(String from, String to) {
    if (world.isCut(from, to) || world.random.nextDouble() < world.loss) {
      return -1;
    }
    return world.random.nextDouble() < world.late
        ? 1 + world.random.nextLong(world.lateMs)
        : 1 + world.random.nextLong(10);
  }

  private interface Service {
    void serve(Consumer<Reply> onComplete);
  }

  /**
   * Carries a call out: request and reply each may be lost, world.late or, the request,
   * world.doubled.
   */
  private void call(String node, Effect.Call call, String to, Service service) {
    int life = world.lives.get(node);
    boolean[] over = {false};
    Consumer<Reply> back =
        reply -> {
          if (!over[0] && world.lives.get(node) == life) {
            over[0] = true;
            world.input(node, new Input.Answered(call.callId(), reply));
          }
        };
    world.at(call.timeoutMs(), () -> back.accept(new Reply.Unanswered()));
    int copies = world.random.nextDouble() < world.doubled ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = delay(node, to);
      if (delay >= 0) {
        world.at(
            delay,
            () ->
                service.serve(
                    reply -> {
                      long backDelay = delay(to, node);
                      if (backDelay >= 0) {
                        world.at(backDelay, () -> back.accept(reply));
                      }
                    }));
      }
    }
  }

  void carryOut(String node, Effect effect) {
    if (effect instanceof Effect.CallStore it) {
      if (it.request() instanceof StoreRequest.Transaction
          && world.random.nextDouble() < world.lateWrites) {
        world.at(
            2000 + world.random.nextLong(10_000),
            () -> world.state.execute(it.request(), world.nowMs, reply -> {}));
        call(node, it, "nowhere", onComplete -> {});
      } else if (it.request() instanceof StoreRequest.Transaction
          && world.random.nextDouble() < world.lostAnswers) {
        call(
            node,
            it,
            "state",
            onComplete -> world.stateAccess.serve(node, it.request(), reply -> {}));
      } else {
        call(
            node,
            it,
            "state",
            onComplete -> world.stateAccess.serve(node, it.request(), onComplete));
      }
    } else if (effect instanceof Effect.ListMachineTypes it) {
      askCloud(node, it, () -> new Reply.Types(world.cloud.types));
    } else if (effect instanceof Effect.RentMachines it) {
      askCloud(node, it, () -> world.cloud.rent(it.rent(), world.nowMs));
    } else if (effect instanceof Effect.ReturnMachines it) {
      askCloud(
          node,
          it,
          () -> {
            it.machines().forEach(name -> world.cloud.returnHost(name, world.nowMs));
            return new Reply.Returned();
          });
    } else if (effect instanceof Effect.ListHosts it) {
      askCloud(node, it, () -> world.cloud.list(it.after(), world.nowMs));
    } else if (effect instanceof Effect.SendCommands it) {
      worker(
          node,
          it,
          it.address(),
          world.commandsLateMs,
          w -> {
            boolean executed =
                w.handleDirectCommands(it.fencingToken(), it.incarnation(), it.commands());
            return new Reply.WorkerReply(executed, w.nextHeartbeat());
          });
    } else if (effect instanceof Effect.InspectWorker it) {
      worker(node, it, it.address(), 0, w -> new Reply.WorkerReply(true, w.nextHeartbeat()));
    } else if (effect instanceof Effect.Response it) {
      Consumer<Effect> onComplete = world.answers.remove(it.ticket());
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
              (world.older.contains(it.node()) ? refusing : acknowledging).serve(onComplete);
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
    return onComplete -> world.ask(peer, input, said -> onComplete.accept(reply.apply(said)));
  }

  private void askCloud(String node, Effect.Call call, Supplier<Reply> answer) {
    call(
        node,
        call,
        "cloud",
        onComplete ->
            onComplete.accept(world.cloud.isDown ? new Reply.Refused(503) : answer.get()));
  }

  private void worker(
      String node, Effect.Call call, String addr, long lateMs, Function<FakeWorker, Reply> answer) {
    String name = addr.substring(0, addr.indexOf(':'));
    String to = world.isCut(node, "*") ? "*" : name;
    call(node, call, to, onComplete -> world.at(lateMs, () -> deliver(name, answer, onComplete)));
  }

  private void deliver(
      String name, Function<FakeWorker, Reply> answer, Consumer<Reply> onComplete) {
    FakeCloud.Host host = world.cloud.host(name);
    if (host == null || host.worker == null || host.worker.dead) {
      return;
    }
    if (host.worker.hanging) {
      // Held until the machine goes on.
      world.at(SimulatedCluster.TICK_MS, () -> deliver(name, answer, onComplete));
    } else {
      onComplete.accept(answer.apply(host.worker));
    }
  }

  /** A zone's machines and one controller are cut off from the other controllers and the cloud. */
  void cutZone(String zone, String inside, long forMs) {
    for (int i = 0; i < world.count; i++) {
      String node = "roost-" + i;
      if (node.equals(inside)) {
        continue;
      }
      world.cut(node + ">" + inside, forMs);
      world.cut(inside + ">" + node, forMs);
      for (FakeWorker worker : world.workers()) {
        if (worker.machine.zone().equals(zone)) {
          world.cut(node + ">" + worker.machine.name(), forMs);
          world.cut(worker.machine.name() + ">" + node, forMs);
        }
      }
    }
    world.cut(inside + ">state", forMs);
    world.cut("state>" + inside, forMs);
  }

  /** Two zones can't reach each other; both reach the store, the cloud and the users. */
  void splitZones(long forMs) {
    for (int i = 0; i < world.count; i++) {
      for (int j = 0; j < world.count; j++) {
        if (!TestFixtures.zone(i, world.count).equals(TestFixtures.zone(j, world.count))) {
          world.cut("roost-" + i + ">roost-" + j, forMs);
        }
      }
      for (FakeWorker worker : world.workers()) {
        if (!worker.machine.zone().equals(TestFixtures.zone(i, world.count))) {
          world.cut("roost-" + i + ">" + worker.machine.name(), forMs);
          world.cut(worker.machine.name() + ">roost-" + i, forMs);
        }
      }
    }
  }
}
