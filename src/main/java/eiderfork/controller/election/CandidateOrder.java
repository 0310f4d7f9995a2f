package eiderfork.controller.election;

import eiderfork.config.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which workers are expected to try the nodes: by their names, shorter ones first, so
 * that {@code node-10} comes after {@code node-9}. It is a hint for who should lead, and safety
 * does not depend on it.
 */
public record CandidateOrder(List<String> nodes, Settings settings) {
  /** The order of all nodes that the settings name. */
  public static CandidateOrder of(Settings settings) {
    List<String> nodes = new ArrayList<>(settings.peerEndpoints().keySet());
    nodes.add(settings.nodeName());
    nodes.sort(Comparator.comparingInt(String::length).thenComparing(Comparator.naturalOrder()));
    return new CandidateOrder(List.copyOf(nodes), settings);
  }

  /** The node that workers try after this one. */
  public String nextNode() {
    return nodes.get((nodes.indexOf(settings.nodeName()) + 1) % nodes.size());
  }

  /**
   * Whether the node that workers try after this one is in another zone, as far as there is one. A
   * worker that can't reach the leader's zone tries the next node after a timeout; were that one in
   * the leader's zone too, the second timeout would take the rest of its lease.
   */
  public boolean isNextNodeInOtherZone() {
    String own = settings.zone();
    boolean severalZones =
        settings.peerZones().values().stream().anyMatch(zone -> !zone.equals(own));
    String nextZone = settings.peerZones().getOrDefault(nextNode(), own);
    return !severalZones || !nextZone.equals(own);
  }
}
