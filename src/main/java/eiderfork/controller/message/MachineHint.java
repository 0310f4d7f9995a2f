package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;

/**
 * What a leader publishes of a machine beside what is committed. Correctness never depends on it.
 *
 * @param images its cached images, the one used last at the end
 */
public record MachineHint(String machine, ImmutableList<ImageHint> images) {
  /**
   * An image on a machine.
   *
   * @param readyInMs how long its fetch still takes; 0 once it is complete
   */
  public record ImageHint(String image, double sizeGb, long readyInMs) {}
}
