package eiderfork.core;

import eiderfork.core.context.Context;
import eiderfork.model.Job;
import eiderfork.model.MachineType;

/** Estimates how long tasks wait for their images, by what machines were given before. */
final class ImageFetch {
  private final Context context;
  private final Fleet fleet;

  ImageFetch(Context context, Fleet fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /** How long a task of this job would wait for its image here. */
  double waitS(Job job, MachineEntry m) {
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
  private double leftS(MachineEntry m, String image) {
    return Math.max(0, (m.fetchedAtMs.getLong(image) - context.nowMs) / 1000.0);
  }
}
