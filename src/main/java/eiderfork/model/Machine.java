package eiderfork.model;

/**
 * The immutable properties of a machine.
 *
 * @param name unique for all time
 * @param address where its worker takes direct commands; null while it is not known
 * @param type the name of its machine type
 * @param zone the zone that it is in
 * @param spot whether the cloud may take it back at any time
 */
public record Machine(String name, String address, String type, String zone, boolean spot) {}
