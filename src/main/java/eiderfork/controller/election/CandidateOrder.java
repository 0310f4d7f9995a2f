package eiderfork.controller.election;

import eiderfork.config.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which workers are taken to try the nodes: by their names, shorter ones first, so
 * that {@code node-10} comes after {@code node-9}. It is a hint for who should lead; no rule hangs
 * on it.
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
   * Whether the node that workers try after this one stands in another zone, as far as there is
   * one. A worker whose zone can't reach its leader tries the next node 5 s later; where that one
   * stands in the leader's zone too, the second try takes the rest of its lease. A leader behind
   * which workers find a node of the other zone loses none of them in a split.
   */
  public boolean isNextNodeInOtherZone() {
    String own = settings.zone();
    boolean severalZones = settings.peerZones().values().stream().anyMatch(z -> !z.equals(own));
    String nextZone = settings.peerZones().getOrDefault(nextNode(), own);
    return !severalZones || !nextZone.equals(own);
  }
}
