package eiderfork.model;

/** An amount of the resources that a machine has and a task uses. */
public record Resources(double cpus, double gpus, double ramGb) {
  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Sums of decimal amounts pick up rounding errors; no real amount is smaller than this. */
  public static final double ROUNDING_TOLERANCE = 1e-6;

  /** The sum of both amounts. */
  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, ramGb + other.ramGb);
  }

  /** The difference of both amounts; may be negative. */
  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, ramGb - other.ramGb);
  }

  /** This amount {@code factor} times. */
  public Resources times(double factor) {
    return new Resources(cpus * factor, gpus * factor, ramGb * factor);
  }

  /** Whether no part of this amount exceeds the same part of {@code capacity}. */
  public boolean fitsIn(Resources capacity) {
    return fitsIn(capacity.cpus, capacity.gpus, capacity.ramGb);
  }

  /** Whether no part of this amount exceeds what is available of it. */
  public boolean fitsIn(double availableCpus, double availableGpus, double availableRamGb) {
    return cpus <= availableCpus + ROUNDING_TOLERANCE
        && gpus <= availableGpus + ROUNDING_TOLERANCE
        && ramGb <= availableRamGb + ROUNDING_TOLERANCE;
  }

  /** How many of {@code unit} fit into this amount. */
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

  /** The mean share of {@code whole} that this amount is, over the kinds that {@code whole} has. */
  public double shareOf(Resources whole) {
    double sum = 0;
    int kinds = 0;
    if (whole.cpus > 0) {
      sum += cpus / whole.cpus;
      kinds++;
    }
    if (whole.gpus > 0) {
      sum += gpus / whole.gpus;
      kinds++;
    }
    if (whole.ramGb > 0) {
      sum += ramGb / whole.ramGb;
      kinds++;
    }
    return kinds == 0 ? 0 : sum / kinds;
  }
}
