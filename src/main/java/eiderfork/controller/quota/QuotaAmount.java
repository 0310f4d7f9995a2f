package eiderfork.controller.quota;

import eiderfork.model.Resources;

/** An amount of GPUs and CPUs, the resources that teams are guaranteed. */
public record QuotaAmount(double gpus, double cpus) {
  /** Nothing. */
  public static final QuotaAmount NONE = new QuotaAmount(0, 0);

  /** The GPUs and CPUs of these resources. */
  public static QuotaAmount of(Resources resources) {
    return new QuotaAmount(resources.gpus(), resources.cpus());
  }

  /** The sum of both amounts. */
  public QuotaAmount plus(QuotaAmount other) {
    return new QuotaAmount(gpus + other.gpus, cpus + other.cpus);
  }

  /** What is left of this amount without the other; may be negative. */
  public QuotaAmount minus(QuotaAmount other) {
    return new QuotaAmount(gpus - other.gpus, cpus - other.cpus);
  }

  /** This amount {@code n} times. */
  public QuotaAmount times(double n) {
    return new QuotaAmount(gpus * n, cpus * n);
  }

  /** Whether there is some of either resource. */
  public boolean isPositive() {
    return gpus > Resources.ROUNDING_TOLERANCE || cpus > Resources.ROUNDING_TOLERANCE;
  }

  @Override
  public String toString() {
    return "%.1f GPUs %.1f CPUs".formatted(gpus, cpus);
  }
}
