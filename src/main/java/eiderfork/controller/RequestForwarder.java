package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.UserResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Passes users' questions on to the leader, those of one tick in one request. Users ask after each
 * job every few seconds, so that questions are most of what a node is sent; passed on one by one
 * they took most of the processor of a fleet of a thousand jobs.
 */
final class RequestForwarder {
  /** The most questions in a request; with the longest ids they stay far below 64 KiB. */
  private static final int MOST = 256;

  /** How long a peer may take over what is passed on, in steps. */
  static final double STEPS = 0.5;

  private record Question(String uid, Consumer<UserResponse> answer, Runnable here) {}

  private final ControllerContext context;
  private final Queue<Question> waiting = new ArrayDeque<>();

  RequestForwarder(ControllerContext context) {
    this.context = context;
  }

  /** How long a peer may take over what is passed on. */
  static long timeoutMs(ControllerContext context) {
    return (long) (context.stepMs() * STEPS);
  }

  /** Passes a question on at the next tick; {@code here} is run where that brings no answer. */
  void add(String uid, Consumer<UserResponse> answer, Runnable here) {
    waiting.add(new Question(uid, answer, here));
  }

  /** Sends what has gathered; {@code leader} is the node to ask, or null for none. */
  void tick(String leader) {
    while (!waiting.isEmpty()) {
      List<Question> batch = new ArrayList<>();
      while (!waiting.isEmpty() && batch.size() < MOST) {
        batch.add(waiting.remove());
      }
      if (leader == null) {
        batch.forEach(each -> each.here.run());
      } else {
        send(leader, batch);
      }
    }
  }

  private void send(String leader, List<Question> batch) {
    ImmutableList<String> uids =
        batch.stream().map(Question::uid).collect(ImmutableList.toImmutableList());
    context.ask(
        call -> new Effect.AskPeerQueries(call, leader, uids, timeoutMs(context)),
        reply -> {
          boolean all =
              reply instanceof Reply.PeerAnswers it && it.answers().size() == batch.size();
          for (int i = 0; i < batch.size(); i++) {
            UserResponse said = all ? ((Reply.PeerAnswers) reply).answers().get(i) : null;
            if (said != null && said.status() != 503) {
              batch.get(i).answer.accept(said);
            } else {
              batch.get(i).here.run();
            }
          }
        });
  }
}
