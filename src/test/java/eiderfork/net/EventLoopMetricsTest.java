package eiderfork.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.Reply;
import eiderfork.model.Heartbeat;
import eiderfork.model.Machine;
import org.junit.jupiter.api.Test;

/** Tests the summary of the event loop's metrics, which is written to the log. */
class EventLoopMetricsTest {
  @Test
  void summaryHasEachKindOnceWithMeanAndMaximum() {
    EventLoopMetrics metrics = new EventLoopMetrics();
    metrics.recordInput(new Input.Tick(), 1_000_000);
    metrics.recordInput(new Input.Tick(), 5_000_000);
    metrics.recordInput(new Input.Query(1, "run-1"), 500_000);
    metrics.recordPeerRequest(2048);
    metrics.recordPeerResponse(512);
    assertEquals(
        "Query=1 QueryMeanMs=0.50 QueryMaxMs=1 Tick=2 TickMeanMs=3.00 TickMaxMs=5 "
            + "peerRequests=1 peerInKb=2.0 peerOutKb=0.5",
        metrics.takeSummary());
    assertEquals("peerRequests=0 peerInKb=0.0 peerOutKb=0.0", metrics.takeSummary());
  }

  /**
   * Log searches and dashboards match these names and the printed form of an input, so they must
   * not change when a class or component is renamed.
   */
  @Test
  void loggedNamesAndPrintedFormsOfInputsAreFixed() {
    Heartbeat heartbeat =
        new Heartbeat(
            new Machine("m-1", null, "large", "zone-a", true), 1, 5, 3, null, ImmutableList.of());

    assertLogged("Tick", "Tick[]", new Input.Tick());
    assertLogged(
        "Submit", "Submit[ticket=1, job=null, body=null]", new Input.Submit(1, null, null));
    assertLogged("Query", "Query[ticket=2, uid=run-1]", new Input.Query(2, "run-1"));
    assertLogged("Abort", "Abort[ticket=3, uid=run-1]", new Input.Cancel(3, "run-1"));
    assertLogged("HealthCheck", "HealthCheck[ticket=4]", new Input.HealthCheck(4));
    assertLogged(
        "WorkerReport",
        "WorkerReport[ticket=5, report=Heartbeat[machine=Machine[name=m-1, address=null, "
            + "type=large, zone=zone-a, spot=true], incarnation=1, sequenceNumber=5, "
            + "fencingToken=3, terminationNoticeS=null, tasks=[]]]",
        new Input.WorkerHeartbeat(5, heartbeat));
    assertLogged(
        "PeerRequest",
        "PeerRequest[ticket=6, request=Abort[ticket=0, uid=run-1]]",
        new Input.PeerRequest(6, new Input.Cancel(0, "run-1")));
    assertLogged(
        "PeerQueries",
        "PeerQueries[ticket=7, uids=[run-1]]",
        new Input.PeerQueries(7, ImmutableList.of("run-1")));
    assertLogged("PeerPing", "PeerPing[ticket=8, status=null]", new Input.PeerPing(8, null));
    assertLogged("PeerHints", "PeerHints[ticket=9, hints=null]", new Input.PeerHints(9, null));
    assertLogged(
        "Answered",
        "Answered[callId=10, reply=Unanswered[]]",
        new Input.CallCompleted(10, new Reply.Unanswered()));
  }

  private static void assertLogged(String name, String printed, Input input) {
    EventLoopMetrics metrics = new EventLoopMetrics();
    metrics.recordInput(input, 1_000_000);
    assertEquals(
        name
            + "=1 "
            + name
            + "MeanMs=1.00 "
            + name
            + "MaxMs=1 peerRequests=0 peerInKb=0.0 peerOutKb=0.0",
        metrics.takeSummary());
    assertEquals(name, input.loggedName());
    assertEquals(printed, input.toString());
  }
}
