package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;

/**
 * What a leader tells its standby of a machine beside what is committed. No rule hangs on it.
 *
 * @param images its cached images, the one used last at the end
 */
public record MachineHint(String machine, ImmutableList<ImageHint> images) {
  /**
   * An image on a machine.
   *
   * @param readyInMs how long its fetch still takes; 0 for over
   */
  public record ImageHint(String image, double sizeGb, long readyInMs) {}
}
