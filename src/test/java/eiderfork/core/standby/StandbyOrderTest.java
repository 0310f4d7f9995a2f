package eiderfork.core.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderfork.core.StandbySamples;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Every node finds the same standbys, in another zone first. */
class StandbyOrderTest {
  @Test
  void nodesOfAnotherZoneComeFirst() {
    // Nodes with odd numbers stand in the other zone.
    for (String node : List.of("roost-0", "roost-3", "roost-4")) {
      var settings = StandbySamples.settings(node, 5, 2);
      assertEquals(List.of("roost-3", "roost-1"), StandbyOrder.of(settings, "roost-2"));
      assertEquals(List.of("roost-1", "roost-3"), StandbyOrder.of(settings, "roost-0"));
      assertEquals(List.of("roost-4", "roost-0"), StandbyOrder.of(settings, "roost-3"));
    }
  }

  @Test
  void oneZoneHasItsNextNode() {
    assertEquals(
        List.of("roost-0"), StandbyOrder.of(StandbySamples.settings("roost-1", 3, 1), "roost-2"));
  }

  @Test
  void noneAreChosenWhereNoneAreWantedOrTheLeaderIsUnknown() {
    assertEquals(List.of(), StandbyOrder.of(StandbySamples.settings("roost-1", 3, 0), "roost-2"));
    assertEquals(List.of(), StandbyOrder.of(StandbySamples.settings("roost-1", 3, 1), "roost-9"));
  }
}
