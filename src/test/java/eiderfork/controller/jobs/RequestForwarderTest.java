package eiderfork.controller.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.TestFixtures;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.UserResponse;
import eiderfork.model.JobStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the batched forwarding of queries to the leader. */
class RequestForwarderTest {
  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
  private final RequestForwarder forwarder = new RequestForwarder(context);
  private final List<String> outcomes = new ArrayList<>();

  private void enqueue(String uid) {
    forwarder.enqueueQuery(
        uid,
        response -> outcomes.add(uid + " " + response.status()),
        () -> outcomes.add(uid + " fallback"));
  }

  private static UserResponse running(String uid) {
    return UserResponse.ok(new JobStatus(uid, JobStatus.Phase.RUNNING, 0, 1));
  }

  private List<Effect.ForwardQueries> drainForwardedQueries() {
    return context.drainEffects().stream().map(Effect.ForwardQueries.class::cast).toList();
  }

  /**
   * Guards against forwarding each query in a request of its own, which used most of the CPU with a
   * thousand jobs.
   */
  @Test
  void queriesOfATickGoInOneRequestAndEachGetsItsOwnResponse() {
    enqueue("run-1");
    enqueue("run-2");
    enqueue("run-3");
    forwarder.sendQueued("roost-1");
    List<Effect.ForwardQueries> requests = drainForwardedQueries();
    assertEquals(1, requests.size());
    assertEquals(List.of("run-1", "run-2", "run-3"), requests.get(0).uids());
    ImmutableList<UserResponse> responses =
        ImmutableList.of(
            running("run-1"),
            UserResponse.refused(404, "no such job"),
            UserResponse.retryAfter(1, "busy"));
    context.completeCall(requests.get(0).callId(), new Reply.ForwardedResponses(responses));
    assertEquals(List.of("run-1 200", "run-2 404", "run-3 fallback"), outcomes);
  }

  @Test
  void withoutAResponseFromTheLeaderEachFallsBack() {
    enqueue("run-1");
    forwarder.sendQueued(null);
    assertEquals(List.of("run-1 fallback"), outcomes);
    enqueue("run-2");
    forwarder.sendQueued("roost-1");
    context.completeCall(drainForwardedQueries().get(0).callId(), new Reply.Unanswered());
    enqueue("run-3");
    enqueue("run-4");
    forwarder.sendQueued("roost-1");
    ImmutableList<UserResponse> tooFewResponses = ImmutableList.of(running("run-3"));
    context.completeCall(
        drainForwardedQueries().get(0).callId(), new Reply.ForwardedResponses(tooFewResponses));
    assertEquals(
        List.of("run-1 fallback", "run-2 fallback", "run-3 fallback", "run-4 fallback"), outcomes);
  }

  @Test
  void requestStaysBelowThePeersSizeLimit() {
    for (int i = 0; i < 1000; i++) {
      enqueue("run-%060d".formatted(i));
    }
    forwarder.sendQueued("roost-1");
    List<Effect.ForwardQueries> requests = drainForwardedQueries();
    assertTrue(requests.size() > 1);
    assertEquals(1000, requests.stream().mapToInt(request -> request.uids().size()).sum());
  }
}
