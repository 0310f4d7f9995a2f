package eiderfork.controller.message;

/**
 * What a node tells its peers about itself.
 *
 * @param stateAgeMs how long ago the state service last served the node
 * @param machinesHeard how many machines reported to it lately, whatever it answered
 * @param version the version that the node runs
 * @param news the cancellations that it confirmed and the receiver may not know
 */
public record PeerStatus(
    String node,
    long term,
    boolean leading,
    long stateAgeMs,
    int machinesHeard,
    int version,
    CancellationGossip news) {}
