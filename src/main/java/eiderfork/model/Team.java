package eiderfork.model;

/** A team's guarantee and limit; a limit of 0 is none. */
public record Team(
    String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {
  /** Whether {@code used} lies within the team's limit; a limit of 0 is none. */
  public boolean isWithinLimit(Resources used) {
    return new Resources(used.cpus(), used.gpus(), 0)
        .fitsIn(new Resources(limitOrUnbounded(maxCpus), limitOrUnbounded(maxGpus), 0));
  }

  /** How many tasks of this size, up to those requested, the limit allows beside what is used. */
  public int countWithinLimit(Resources used, Resources demand, int requestedTasks) {
    Resources left =
        new Resources(
            limitOrUnbounded(maxCpus) - used.cpus(),
            limitOrUnbounded(maxGpus) - used.gpus(),
            Double.MAX_VALUE);
    return Math.min(requestedTasks, left.countFitting(demand));
  }

  /** Whether the team has a guarantee. */
  public boolean hasGuarantee() {
    return guaranteedCpus > 0 || guaranteedGpus > 0;
  }

  /** Whether {@code used} lies within what the team is guaranteed; a guarantee of 0 is none. */
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
