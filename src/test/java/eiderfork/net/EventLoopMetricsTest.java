package eiderfork.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderfork.controller.message.Input;
import org.junit.jupiter.api.Test;

/** What is told of the event loop's work. */
class EventLoopMetricsTest {
  @Test
  void eachKindIsToldOnceWithItsMeanAndItsMost() {
    EventLoopMetrics meter = new EventLoopMetrics();
    meter.recordInput(new Input.Tick(), 1_000_000);
    meter.recordInput(new Input.Tick(), 5_000_000);
    meter.recordInput(new Input.Query(1, "run-1"), 500_000);
    meter.recordPeerRequest(2048);
    meter.recordPeerResponse(512);
    assertEquals(
        "Query 1 (mean 0.50, most 1 ms), Tick 2 (mean 3.00, most 5 ms), "
            + "peers' requests 1 (2.0 KB in, 0.5 KB out)",
        meter.takeSummary());
    assertEquals("peers' requests 0 (0.0 KB in, 0.0 KB out)", meter.takeSummary());
  }
}
