package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.Job;
import eiderfork.model.MachineType;

/**
 * Estimates the time that tasks wait for their images, from the images already cached or being
 * fetched on a machine.
 */
public final class ImageFetchEstimator {
  private final ControllerContext context;
  private final MachineRegistry fleet;

  ImageFetchEstimator(ControllerContext context, MachineRegistry fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /** Returns the time that a task of this job would wait for its image on the machine. */
  public double waitS(Job job, MachineState machine) {
    MachineType type = fleet.typeOf(machine);
    if (job.image() == null || type == null) {
      return 0;
    }
    if (machine.images().contains(job.image())) {
      return remainingS(machine, job.image());
    }
    double queuedFetchesS = 0;
    for (String image : machine.images().names()) {
      queuedFetchesS += remainingS(machine, image);
    }
    return queuedFetchesS + job.imageGb() / type.imageFetchGbPerS();
  }

  /** Returns the remaining time of the machine's fetch of this image. */
  private double remainingS(MachineState machine, String image) {
    return machine.images().remainingFetchMs(image, context.nowMs()) / 1000.0;
  }
}
