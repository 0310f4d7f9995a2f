package eiderfork.model;

/**
 * The immutable properties of a machine.
 *
 * @param name the machine's name, which is never reused
 * @param address the endpoint at which its worker accepts commands; null while unknown
 * @param type the name of its machine type
 * @param zone the zone of the machine
 * @param spot whether the cloud may reclaim the machine at any time
 */
public record Machine(String name, String address, String type, String zone, boolean spot) {}
