package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests submissions whose body is just within the protocol's limit. */
class LargeSubmissionTest {
  private static final double LEADER_ELECTION_S = 20;
  private static final double RESPONSE_S = 5;

  /**
   * A forwarded body is wrapped in a request to the peer. A body just within the limit exceeded it
   * when wrapped, and the peer refused it.
   */
  @ParameterizedTest
  @CsvSource({"1000, 1", "65472, 1", "65473, 0", "65536, 0"})
  void bodiesThatDoNotFitARequestToAPeerAreNotForwarded(int bodyBytes, int forwardedRequests) {
    SimulatedCluster cluster = new SimulatedCluster(1);
    cluster.run(LEADER_ELECTION_S);
    Job job = TestFixtures.job(1, JobKind.ARRAY, 2, 1);
    cluster.addJob(job);
    List<Effect> forwardEffects = new ArrayList<>();
    cluster.effectObserver =
        (node, effect) -> {
          if (effect instanceof Effect.ForwardRequest) {
            forwardEffects.add(effect);
          }
        };
    List<Integer> statuses = new ArrayList<>();
    cluster.sendRequest(
        follower(cluster),
        ticket -> new Input.Submit(ticket, job, new byte[bodyBytes]),
        response -> statuses.add(((Effect.RespondToUser) response).response().status()));
    cluster.run(RESPONSE_S);
    assertEquals(List.of(201), statuses);
    assertEquals(forwardedRequests, forwardEffects.size());
  }

  private static String follower(SimulatedCluster cluster) {
    return cluster.nodeNames().stream()
        .filter(node -> !node.equals(cluster.leader()))
        .findFirst()
        .orElseThrow();
  }
}
