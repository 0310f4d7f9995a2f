package eiderfork.controller.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderfork.controller.StandbyFixtures;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that every node selects the same standbys and prefers nodes of another zone. */
class StandbyRankingTest {
  @Test
  void nodesOfOtherZoneRankFirst() {
    // Nodes with odd numbers are in the other zone.
    for (String node : List.of("roost-0", "roost-3", "roost-4")) {
      var settings = StandbyFixtures.settings(node, 5, 2);
      assertEquals(List.of("roost-3", "roost-1"), StandbyRanking.of(settings, "roost-2"));
      assertEquals(List.of("roost-1", "roost-3"), StandbyRanking.of(settings, "roost-0"));
      assertEquals(List.of("roost-4", "roost-0"), StandbyRanking.of(settings, "roost-3"));
    }
  }

  @Test
  void singleZoneUsesNextNode() {
    assertEquals(
        List.of("roost-0"),
        StandbyRanking.of(StandbyFixtures.settings("roost-1", 3, 1), "roost-2"));
  }

  @Test
  void noStandbysIfDisabledOrLeaderUnknown() {
    assertEquals(
        List.of(), StandbyRanking.of(StandbyFixtures.settings("roost-1", 3, 0), "roost-2"));
    assertEquals(
        List.of(), StandbyRanking.of(StandbyFixtures.settings("roost-1", 3, 1), "roost-9"));
  }
}
