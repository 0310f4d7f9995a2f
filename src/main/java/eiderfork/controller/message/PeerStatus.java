package eiderfork.controller.message;

/**
 * The status that a node sends its peers.
 *
 * @param storeAgeMs how long ago the store last served the node
 * @param reportingMachines how many machines sent it heartbeats lately, whatever it responded
 * @param version the version that the node runs
 * @param cancellations the cancellations that it confirmed and the receiver may not know
 */
public record PeerStatus(
    String node,
    long term,
    boolean leading,
    long storeAgeMs,
    int reportingMachines,
    int version,
    CancellationGossip cancellations) {}
