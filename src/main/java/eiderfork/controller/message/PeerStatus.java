package eiderfork.controller.message;

/**
 * What a node tells its peers about itself.
 *
 * @param storeAgeMs how long ago the state service last served the node
 * @param reportingMachines how many machines reported to it lately, whatever it answered
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
