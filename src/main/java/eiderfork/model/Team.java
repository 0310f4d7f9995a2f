package eiderfork.model;

/** A team's guaranteed resources and resource limits; a limit of 0 means no limit. */
public record Team(
    String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {
  /** Returns whether {@code used} is within the team's limits. */
  public boolean isWithinLimit(Resources used) {
    return new Resources(used.cpus(), used.gpus(), 0)
        .fitsIn(new Resources(limitOrUnbounded(maxCpus), limitOrUnbounded(maxGpus), 0));
  }

  /**
   * Returns how many of the requested tasks, each with the resources {@code demand}, the limits
   * allow in addition to the used resources.
   */
  public int countWithinLimit(Resources used, Resources demand, int requestedTasks) {
    Resources left =
        new Resources(
            limitOrUnbounded(maxCpus) - used.cpus(),
            limitOrUnbounded(maxGpus) - used.gpus(),
            Double.MAX_VALUE);
    return Math.min(requestedTasks, left.countFitting(demand));
  }

  /** Returns whether the team has any guaranteed resources. */
  public boolean hasGuarantee() {
    return guaranteedCpus > 0 || guaranteedGpus > 0;
  }

  /**
   * Returns whether {@code used} is within the team's guaranteed resources; false if it has no
   * guarantee. A team with only a GPU guarantee may use any number of CPUs within it; a team with
   * only a CPU guarantee may use no GPUs.
   */
  public boolean isWithinGuarantee(Resources used) {
    if (!hasGuarantee()) {
      return false;
    }
    return new Resources(used.cpus(), used.gpus(), 0)
        .fitsIn(
            new Resources(
                guaranteedCpus > 0 ? guaranteedCpus : limitOrUnbounded(0),
                guaranteedGpus > 0 ? guaranteedGpus : 0,
                0));
  }

  private static double limitOrUnbounded(double max) {
    return max > 0 ? max : Double.MAX_VALUE;
  }
}
