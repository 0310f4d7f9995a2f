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
  private static final int MAX_BATCH_SIZE = 256;

  /** How long a peer may take over what is passed on, in steps. */
  static final double TIMEOUT_STEPS = 0.5;

  private record QueuedQuery(String uid, Consumer<UserResponse> onResponse, Runnable fallback) {}

  private final ControllerContext context;
  private final Queue<QueuedQuery> queue = new ArrayDeque<>();

  RequestForwarder(ControllerContext context) {
    this.context = context;
  }

  /** How long a peer may take over what is passed on. */
  static long timeoutMs(ControllerContext context) {
    return (long) (context.stepMs() * TIMEOUT_STEPS);
  }

  /** Passes a question on at the next tick; {@code fallback} is run where that brings no answer. */
  void enqueueQuery(String uid, Consumer<UserResponse> onResponse, Runnable fallback) {
    queue.add(new QueuedQuery(uid, onResponse, fallback));
  }

  /** Sends what has gathered; {@code leader} is the node to ask, or null for none. */
  void sendQueued(String leader) {
    while (!queue.isEmpty()) {
      List<QueuedQuery> batch = new ArrayList<>();
      while (!queue.isEmpty() && batch.size() < MAX_BATCH_SIZE) {
        batch.add(queue.remove());
      }
      if (leader == null) {
        batch.forEach(each -> each.fallback.run());
      } else {
        send(leader, batch);
      }
    }
  }

  private void send(String leader, List<QueuedQuery> batch) {
    ImmutableList<String> uids =
        batch.stream().map(QueuedQuery::uid).collect(ImmutableList.toImmutableList());
    context.call(
        call -> new Effect.ForwardQueries(call, leader, uids, timeoutMs(context)),
        reply -> {
          boolean all =
              reply instanceof Reply.ForwardedResponses forwarded
                  && forwarded.responses().size() == batch.size();
          for (int i = 0; i < batch.size(); i++) {
            UserResponse response =
                all ? ((Reply.ForwardedResponses) reply).responses().get(i) : null;
            if (response != null && response.status() != 503) {
              batch.get(i).onResponse.accept(response);
            } else {
              batch.get(i).fallback.run();
            }
          }
        });
  }
}
