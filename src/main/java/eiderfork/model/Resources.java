package eiderfork.model;

/** An amount of resources, such as the capacity of a machine or the demand of a task. */
public record Resources(double cpus, double gpus, double ramGb) {
  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * The tolerance for rounding errors in sums of decimal amounts; smaller than any actual amount.
   */
  public static final double ROUNDING_TOLERANCE = 1e-6;

  /** Returns the sum of both amounts. */
  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, ramGb + other.ramGb);
  }

  /** Returns the difference of both amounts, which may be negative. */
  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, ramGb - other.ramGb);
  }

  /** Returns this amount multiplied by {@code factor}. */
  public Resources times(double factor) {
    return new Resources(cpus * factor, gpus * factor, ramGb * factor);
  }

  /** Returns whether this amount fits into {@code capacity} in every dimension. */
  public boolean fitsIn(Resources capacity) {
    return fitsIn(capacity.cpus, capacity.gpus, capacity.ramGb);
  }

  /** Returns whether this amount fits into the available amount in every dimension. */
  public boolean fitsIn(double availableCpus, double availableGpus, double availableRamGb) {
    return cpus <= availableCpus + ROUNDING_TOLERANCE
        && gpus <= availableGpus + ROUNDING_TOLERANCE
        && ramGb <= availableRamGb + ROUNDING_TOLERANCE;
  }

  /** Returns how many times {@code unit} fits into this amount. */
  public int countFitting(Resources unit) {
    double count = Double.MAX_VALUE;
    if (unit.cpus > 0) {
      count = Math.min(count, (cpus + ROUNDING_TOLERANCE) / unit.cpus);
    }
    if (unit.gpus > 0) {
      count = Math.min(count, (gpus + ROUNDING_TOLERANCE) / unit.gpus);
    }
    if (unit.ramGb > 0) {
      count = Math.min(count, (ramGb + ROUNDING_TOLERANCE) / unit.ramGb);
    }
    return (int) Math.max(0, Math.min(count, Integer.MAX_VALUE));
  }

  /**
   * Returns the fraction of {@code whole} that this amount is, averaged over the dimensions in
   * which {@code whole} is not zero.
   */
  public double shareOf(Resources whole) {
    double sum = 0;
    int dimensions = 0;
    if (whole.cpus > 0) {
      sum += cpus / whole.cpus;
      dimensions++;
    }
    if (whole.gpus > 0) {
      sum += gpus / whole.gpus;
      dimensions++;
    }
    if (whole.ramGb > 0) {
      sum += ramGb / whole.ramGb;
      dimensions++;
    }
    return dimensions == 0 ? 0 : sum / dimensions;
  }
}
