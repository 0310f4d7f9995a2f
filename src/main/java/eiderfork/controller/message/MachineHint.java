package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;

/**
 * Uncommitted state of a machine that a leader publishes to its standbys. Correctness never depends
 * on it.
 *
 * @param images the machine's cached images, with the most recently used one last
 */
public record MachineHint(String machine, ImmutableList<ImageHint> images) {
  /**
   * An image on a machine.
   *
   * @param readyInMs the expected time until the image is fetched; 0 once it is complete
   */
  public record ImageHint(String image, double sizeGb, long readyInMs) {}
}
