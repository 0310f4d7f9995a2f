package eiderfork.controller.standby;

import com.google.common.collect.ImmutableList;
import eiderfork.config.Settings;
import eiderfork.controller.election.CandidateOrder;
import java.util.ArrayList;
import java.util.List;

/**
 * Selects the standbys of a leader: the nodes that follow it in the node order, with nodes of other
 * zones first, so that a zone failure does not affect both the leader and its first standby. Every
 * node computes the same result from its settings.
 */
public final class StandbyRanking {
  private StandbyRanking() {}

  /** Returns the standbys of a leader in order of preference. */
  public static ImmutableList<String> of(Settings settings, String leader) {
    List<String> nodes = CandidateOrder.of(settings).nodes();
    int leaderIndex = nodes.indexOf(leader);
    if (leaderIndex < 0) {
      return ImmutableList.of();
    }
    List<String> otherZones = new ArrayList<>();
    List<String> sameZone = new ArrayList<>();
    for (int i = 1; i < nodes.size(); i++) {
      String node = nodes.get((leaderIndex + i) % nodes.size());
      boolean inOtherZone = !zone(settings, node).equals(zone(settings, leader));
      (inOtherZone ? otherZones : sameZone).add(node);
    }
    otherZones.addAll(sameZone);
    int count = Math.min(settings.operator().standbyCount(), otherZones.size());
    return ImmutableList.copyOf(otherZones.subList(0, count));
  }

  private static String zone(Settings settings, String node) {
    return node.equals(settings.nodeName())
        ? settings.zone()
        : settings.peerZones().getOrDefault(node, "");
  }
}
