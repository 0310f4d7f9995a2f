package eiderfork.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderfork.controller.message.Input;
import org.junit.jupiter.api.Test;

/** The summary of the event loop's work. */
class EventLoopMetricsTest {
  @Test
  void summaryHasEachKindOnceWithMeanAndMaximum() {
    EventLoopMetrics meter = new EventLoopMetrics();
    meter.recordInput(new Input.Tick(), 1_000_000);
    meter.recordInput(new Input.Tick(), 5_000_000);
    meter.recordInput(new Input.Query(1, "run-1"), 500_000);
    meter.recordPeerRequest(2048);
    meter.recordPeerResponse(512);
    assertEquals(
        "Query=1 QueryMeanMs=0.50 QueryMaxMs=1 Tick=2 TickMeanMs=3.00 TickMaxMs=5 "
            + "peerRequests=1 peerInKb=2.0 peerOutKb=0.5",
        meter.takeSummary());
    assertEquals("peerRequests=0 peerInKb=0.0 peerOutKb=0.0", meter.takeSummary());
  }
}
