package eiderfork.controller.message;

/**
 * The status that a node sends to its peers.
 *
 * @param storeAgeMs the time since the store last served a request of the node
 * @param reportingMachines the number of machines that recently sent heartbeats to the node,
 *     regardless of its responses
 * @param version the version that the node runs
 * @param cancellations the cancellations that the node has confirmed and the receiver may not know
 */
public record PeerStatus(
    String node,
    long term,
    boolean leading,
    long storeAgeMs,
    int reportingMachines,
    int version,
    CancellationGossip cancellations) {}
