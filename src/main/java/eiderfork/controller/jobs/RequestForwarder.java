package eiderfork.controller.jobs;

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
 * Forwards users' queries to the leader, those of one tick in one request: users poll each job
 * every few seconds, so that queries are most of what a node receives.
 */
final class RequestForwarder {
  /** The most queries in a request; with the longest ids they stay far below 64 KiB. */
  private static final int MAX_BATCH_SIZE = 256;

  /** How long a peer may take over a forwarded request, in steps. */
  private static final double TIMEOUT_STEPS = 0.5;

  private record QueuedQuery(String uid, Consumer<UserResponse> onResponse, Runnable fallback) {}

  private final ControllerContext context;
  private final Queue<QueuedQuery> queue = new ArrayDeque<>();

  /** Makes a forwarder with nothing to forward. */
  RequestForwarder(ControllerContext context) {
    this.context = context;
  }

  /** How long a peer may take over a forwarded request. */
  static long timeoutMs(ControllerContext context) {
    return (long) (context.stepMs() * TIMEOUT_STEPS);
  }

  /** Forwards a query at the next tick; {@code fallback} is run where that brings no response. */
  void enqueueQuery(String uid, Consumer<UserResponse> onResponse, Runnable fallback) {
    queue.add(new QueuedQuery(uid, onResponse, fallback));
  }

  /** Sends what is queued to the leader, or runs the fallbacks where that is null. */
  void sendQueued(String leader) {
    while (!queue.isEmpty()) {
      List<QueuedQuery> batch = nextBatch();
      if (leader == null) {
        batch.forEach(query -> query.fallback.run());
      } else {
        send(leader, batch);
      }
    }
  }

  private List<QueuedQuery> nextBatch() {
    List<QueuedQuery> batch = new ArrayList<>();
    while (!queue.isEmpty() && batch.size() < MAX_BATCH_SIZE) {
      batch.add(queue.remove());
    }
    return batch;
  }

  private void send(String leader, List<QueuedQuery> batch) {
    ImmutableList<String> uids =
        batch.stream().map(QueuedQuery::uid).collect(ImmutableList.toImmutableList());
    context.call(
        callId -> new Effect.ForwardQueries(callId, leader, uids, timeoutMs(context)),
        reply -> {
          if (reply instanceof Reply.ForwardedResponses forwarded
              && forwarded.responses().size() == batch.size()) {
            complete(batch, forwarded.responses());
          } else {
            batch.forEach(query -> query.fallback.run());
          }
        });
  }

  private static void complete(List<QueuedQuery> batch, ImmutableList<UserResponse> responses) {
    for (int i = 0; i < batch.size(); i++) {
      if (responses.get(i).isUnavailable()) {
        batch.get(i).fallback.run();
      } else {
        batch.get(i).onResponse.accept(responses.get(i));
      }
    }
  }
}
