package eiderfork.controller.quota;

import eiderfork.model.Resources;

/** An amount of GPUs and CPUs, the resources that teams are guaranteed. */
public record QuotaAmount(double gpus, double cpus) {
  /** The empty amount. */
  public static final QuotaAmount NONE = new QuotaAmount(0, 0);

  /** Returns the GPUs and CPUs of these resources. */
  public static QuotaAmount of(Resources resources) {
    return new QuotaAmount(resources.gpus(), resources.cpus());
  }

  /** Returns the sum of both amounts. */
  public QuotaAmount plus(QuotaAmount other) {
    return new QuotaAmount(gpus + other.gpus, cpus + other.cpus);
  }

  /** Returns the difference of both amounts, which may be negative. */
  public QuotaAmount minus(QuotaAmount other) {
    return new QuotaAmount(gpus - other.gpus, cpus - other.cpus);
  }

  /** Returns this amount multiplied by a factor. */
  public QuotaAmount times(double factor) {
    return new QuotaAmount(gpus * factor, cpus * factor);
  }

  /** Returns whether either resource is positive, beyond rounding errors. */
  public boolean isPositive() {
    return gpus > Resources.ROUNDING_TOLERANCE || cpus > Resources.ROUNDING_TOLERANCE;
  }

  @Override
  public String toString() {
    return "%.1f GPUs %.1f CPUs".formatted(gpus, cpus);
  }
}
