package eiderfork.model;

import com.google.common.collect.ImmutableList;

/**
 * A machine type that the cloud offers.
 *
 * @param name the name of the type
 * @param capacity the resources of a machine that tasks can use
 * @param imageCacheGb the size of a machine's image cache
 * @param imageFetchGbPerS the rate at which a machine fetches images
 * @param hourlyPrice the price per hour of an on-demand machine
 * @param spotHourlyPrice the price per hour of a spot machine
 * @param bootS the usual time that a machine takes to boot
 * @param zones the zones that offer it
 */
public record MachineType(
    String name,
    Resources capacity,
    double imageCacheGb,
    double imageFetchGbPerS,
    double hourlyPrice,
    double spotHourlyPrice,
    double bootS,
    ImmutableList<String> zones) {

  /** Returns the price per hour of a spot machine or of an on-demand machine. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotHourlyPrice : hourlyPrice;
  }
}
