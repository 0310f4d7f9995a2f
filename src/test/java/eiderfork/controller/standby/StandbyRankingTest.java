package eiderfork.controller.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderfork.controller.StandbyFixtures;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Every node finds the same standbys, in another zone first. */
class StandbyRankingTest {
  @Test
  void nodesOfAnotherZoneComeFirst() {
    // Nodes with odd numbers stand in the other zone.
    for (String node : List.of("roost-0", "roost-3", "roost-4")) {
      var settings = StandbyFixtures.settings(node, 5, 2);
      assertEquals(List.of("roost-3", "roost-1"), StandbyRanking.of(settings, "roost-2"));
      assertEquals(List.of("roost-1", "roost-3"), StandbyRanking.of(settings, "roost-0"));
      assertEquals(List.of("roost-4", "roost-0"), StandbyRanking.of(settings, "roost-3"));
    }
  }

  @Test
  void oneZoneHasItsNextNode() {
    assertEquals(
        List.of("roost-0"),
        StandbyRanking.of(StandbyFixtures.settings("roost-1", 3, 1), "roost-2"));
  }

  @Test
  void noneAreChosenWhereNoneAreWantedOrTheLeaderIsUnknown() {
    assertEquals(
        List.of(), StandbyRanking.of(StandbyFixtures.settings("roost-1", 3, 0), "roost-2"));
    assertEquals(
        List.of(), StandbyRanking.of(StandbyFixtures.settings("roost-1", 3, 1), "roost-9"));
  }
}
