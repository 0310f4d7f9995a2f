package eiderfork.model;

import com.google.common.collect.ImmutableList;

/**
 * A machine type that the cloud offers.
 *
 * @param name its name
 * @param capacity what tasks can use of a machine
 * @param imageCacheGb the size of a machine's image cache
 * @param imageFetchGbPerS how fast a machine fetches images
 * @param hourlyPrice the price of an ordinary machine for an hour
 * @param spotHourlyPrice the price of a spot machine for an hour
 * @param bootS how long a machine usually takes to boot
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

  /** The price of an hour, on a spot machine or an ordinary one. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotHourlyPrice : hourlyPrice;
  }
}
