package eiderfork.controller.election;

import eiderfork.config.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which workers are expected to try the nodes: sorted by name, shorter names first, so
 * that {@code node-10} comes after {@code node-9}. It is a hint for the choice of a leader; safety
 * does not depend on it.
 */
public record CandidateOrder(List<String> nodes, Settings settings) {
  /** Returns the order of all nodes in the settings. */
  public static CandidateOrder of(Settings settings) {
    List<String> nodes = new ArrayList<>(settings.peerEndpoints().keySet());
    nodes.add(settings.nodeName());
    nodes.sort(Comparator.comparingInt(String::length).thenComparing(Comparator.naturalOrder()));
    return new CandidateOrder(List.copyOf(nodes), settings);
  }

  /** Returns the node that workers try after this one. */
  public String nextNode() {
    return nodes.get((nodes.indexOf(settings.nodeName()) + 1) % nodes.size());
  }

  /**
   * Returns whether the node that workers try after this one is in another zone, or there is no
   * other zone. A worker that can't reach the leader's zone tries the next node after a timeout. If
   * the next node were in the same zone, a second timeout would use up the rest of the lease.
   */
  public boolean isNextNodeInOtherZone() {
    String own = settings.zone();
    boolean severalZones =
        settings.peerZones().values().stream().anyMatch(zone -> !zone.equals(own));
    String nextZone = settings.peerZones().getOrDefault(nextNode(), own);
    return !severalZones || !nextZone.equals(own);
  }
}
