package eiderfork.model;

/** A machine as rented: what never changes about it. */
public record Machine(String name, String address, String type, String zone, boolean spot) {}
