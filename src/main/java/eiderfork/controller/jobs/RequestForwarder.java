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
 * Forwards users' queries to the leader, batched per tick. Users poll each job every few seconds,
 * so most of the requests that a node receives are queries.
 */
final class RequestForwarder {
  /**
   * The maximum number of queries in a request. With the longest uids the request stays far below
   * the limit of 64 KiB.
   */
  private static final int MAX_BATCH_SIZE = 256;

  /** The timeout of a forwarded request, in steps. */
  private static final double TIMEOUT_STEPS = 0.5;

  private record QueuedQuery(String uid, Consumer<UserResponse> onResponse, Runnable fallback) {}

  private final ControllerContext context;
  private final Queue<QueuedQuery> queue = new ArrayDeque<>();

  /** Creates a forwarder with an empty queue. */
  RequestForwarder(ControllerContext context) {
    this.context = context;
  }

  /** Returns the timeout of a forwarded request. */
  static long timeoutMs(ControllerContext context) {
    return (long) (context.stepMs() * TIMEOUT_STEPS);
  }

  /**
   * Queues a query for the next tick.
   *
   * @param fallback run if the leader does not answer the query
   */
  void enqueueQuery(String uid, Consumer<UserResponse> onResponse, Runnable fallback) {
    queue.add(new QueuedQuery(uid, onResponse, fallback));
  }

  /**
   * Sends the queued queries to the leader.
   *
   * @param leader null if there is none; then the fallbacks are run
   */
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
