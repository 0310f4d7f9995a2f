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

/** Submissions whose body is just within the protocol's limit. */
class LargeSubmissionTest {
  private static final double UNTIL_LED_S = 20;
  private static final double UNTIL_ANSWERED_S = 5;

  /** Wrapped for a peer, a body just within the limit was beyond it; the peer refused it. */
  @ParameterizedTest
  @CsvSource({"1000, 1", "65472, 1", "65473, 0", "65536, 0"})
  void bodiesThatDoNotFitAPeersRequestAreNotForwarded(int bodyBytes, int forwardedRequests) {
    SimulatedCluster cluster = new SimulatedCluster(1);
    cluster.run(UNTIL_LED_S);
    Job job = TestFixtures.job(1, JobKind.ARRAY, 2, 1);
    cluster.addJob(job);
    List<Effect> forwarded = new ArrayList<>();
    cluster.effectObserver =
        (node, effect) -> {
          if (effect instanceof Effect.ForwardRequest) {
            forwarded.add(effect);
          }
        };
    List<Integer> statuses = new ArrayList<>();
    cluster.sendRequest(
        follower(cluster),
        ticket -> new Input.Submit(ticket, job, new byte[bodyBytes]),
        said -> statuses.add(((Effect.RespondToUser) said).response().status()));
    cluster.run(UNTIL_ANSWERED_S);
    assertEquals(List.of(201), statuses);
    assertEquals(forwardedRequests, forwarded.size());
  }

  private static String follower(SimulatedCluster cluster) {
    return cluster.nodeNames().stream()
        .filter(it -> !it.equals(cluster.leader()))
        .findFirst()
        .orElseThrow();
  }
}
