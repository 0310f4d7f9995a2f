package eiderfork.model;

import com.google.common.collect.ImmutableList;

/** A kind of machine that the cloud rents out, with its room, image cache, prices and zones. */
public record MachineType(
    String name,
    Resources capacity,
    double imageCacheGb,
    double imageFetchGbPerS,
    double hourlyPrice,
    double spotHourlyPrice,
    double bootS,
    ImmutableList<String> zones) {

  /** The price of an hour, on a spot machine or an ordinary one. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotHourlyPrice : hourlyPrice;
  }
}
