package eiderfork.controller.quota;

import eiderfork.model.Resources;
import eiderfork.model.Team;

/**
 * The quota guaranteed to a team. A team without a guarantee borrows everything it uses. If only
 * GPUs are guaranteed, CPUs are not counted; if only CPUs are guaranteed, every GPU is borrowed.
 */
public record GuaranteedQuota(double gpus, double cpus) {
  /** Returns the guarantee from a team's settings. */
  public static GuaranteedQuota of(Team team) {
    return new GuaranteedQuota(team.guaranteedGpus(), team.guaranteedCpus());
  }

  /** Returns whether nothing is guaranteed. */
  public boolean isNone() {
    return gpus <= 0 && cpus <= 0;
  }

  /** Returns whether the guarantee covers the whole used amount. */
  public boolean covers(QuotaAmount used) {
    return !isNone() && !excess(used).isPositive();
  }

  /** The part of the used amount that exceeds the guarantee, which is the borrowed part. */
  public QuotaAmount excess(QuotaAmount used) {
    boolean countsCpus = isNone() || cpus > 0;
    return new QuotaAmount(
        Math.max(0, used.gpus() - gpus), countsCpus ? Math.max(0, used.cpus() - cpus) : 0);
  }

  /** Returns whether the demand includes a resource that is guaranteed. */
  public boolean appliesTo(QuotaAmount demand) {
    return gpus > 0 && demand.gpus() > 0 || cpus > 0 && demand.cpus() > 0;
  }

  /**
   * Returns whether a team that uses {@code used} still uses its whole guarantee without {@code
   * stopped}.
   */
  public boolean isMetWithout(QuotaAmount stopped, QuotaAmount used) {
    QuotaAmount remaining = used.minus(stopped);
    boolean meetsGpus =
        gpus <= 0 || stopped.gpus() <= 0 || remaining.gpus() >= gpus - Resources.ROUNDING_TOLERANCE;
    boolean meetsCpus =
        cpus <= 0 || stopped.cpus() <= 0 || remaining.cpus() >= cpus - Resources.ROUNDING_TOLERANCE;
    return meetsGpus && meetsCpus;
  }

  /** Returns whether all of {@code stopped} is borrowed by a team that uses {@code used}. */
  public boolean isBorrowed(QuotaAmount stopped, QuotaAmount used) {
    return isNone() || isMetWithout(stopped, used) && includesExcess(stopped, used);
  }

  /** Returns whether any part of {@code stopped} is borrowed by a team that uses {@code used}. */
  public boolean isPartlyBorrowed(QuotaAmount stopped, QuotaAmount used) {
    return isNone() || includesExcess(stopped, used);
  }

  private boolean includesExcess(QuotaAmount stopped, QuotaAmount used) {
    QuotaAmount excess = excess(used);
    return stopped.gpus() > 0 && excess.gpus() > Resources.ROUNDING_TOLERANCE
        || stopped.cpus() > 0 && excess.cpus() > Resources.ROUNDING_TOLERANCE;
  }
}
