package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.MachineType;

/** Estimates how long tasks wait for their images, by what machines were given before. */
final class ImageFetchEstimator {
  private final ControllerContext context;
  private final MachineRegistry fleet;

  ImageFetchEstimator(ControllerContext context, MachineRegistry fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /** How long a task of this job would wait for its image here. */
  double waitS(Job job, MachineState m) {
    MachineType type = fleet.type(m);
    if (job.image() == null || type == null) {
      return 0;
    }
    if (m.images.containsKey(job.image())) {
      return leftS(m, job.image());
    }
    double others = 0;
    for (String image : m.images.keySet()) {
      others += leftS(m, image);
    }
    return others + job.imageGb() / type.fetchGbPerS();
  }

  /** How long the fetch of an image that the machine was given still takes. */
  private double leftS(MachineState m, String image) {
    return Math.max(0, (m.fetchedAtMs.getLong(image) - context.nowMs) / 1000.0);
  }
}
