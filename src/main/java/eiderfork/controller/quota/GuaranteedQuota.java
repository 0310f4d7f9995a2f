package eiderfork.controller.quota;

import eiderfork.model.Resources;
import eiderfork.model.Team;

/**
 * What a team is guaranteed. A team without any guarantee borrows all that it uses. Where GPUs
 * alone are guaranteed, CPUs are not counted; where CPUs alone are guaranteed, every GPU is
 * borrowed.
 */
public record GuaranteedQuota(double gpus, double cpus) {
  /** The guarantee that the settings name for a team. */
  public static GuaranteedQuota of(Team team) {
    return new GuaranteedQuota(team.guaranteedGpus(), team.guaranteedCpus());
  }

  /** Whether nothing is guaranteed. */
  public boolean isNone() {
    return gpus <= 0 && cpus <= 0;
  }

  /** Whether all that is used is guaranteed. */
  public boolean covers(QuotaAmount used) {
    return !isNone() && !excess(used).isPositive();
  }

  /** The part of the used amount that exceeds the guarantee, which is what the team borrows. */
  public QuotaAmount excess(QuotaAmount used) {
    boolean countsCpus = isNone() || cpus > 0;
    return new QuotaAmount(
        Math.max(0, used.gpus() - gpus), countsCpus ? Math.max(0, used.cpus() - cpus) : 0);
  }

  /** Whether work of this size takes anything that is guaranteed. */
  public boolean appliesTo(QuotaAmount demand) {
    return gpus > 0 && demand.gpus() > 0 || cpus > 0 && demand.cpus() > 0;
  }

  /** Whether a team that uses this much still uses its whole guarantee without {@code stopped}. */
  public boolean isMetWithout(QuotaAmount stopped, QuotaAmount used) {
    QuotaAmount left = used.minus(stopped);
    boolean keepsGpus =
        gpus <= 0 || stopped.gpus() <= 0 || left.gpus() >= gpus - Resources.ROUNDING_TOLERANCE;
    boolean keepsCpus =
        cpus <= 0 || stopped.cpus() <= 0 || left.cpus() >= cpus - Resources.ROUNDING_TOLERANCE;
    return keepsGpus && keepsCpus;
  }

  /** Whether all of {@code stopped} is borrowed by a team that uses this much. */
  public boolean isBorrowed(QuotaAmount stopped, QuotaAmount used) {
    return isNone() || isMetWithout(stopped, used) && includesExcess(stopped, used);
  }

  /** Whether a part of {@code stopped} is borrowed by a team that uses this much. */
  public boolean isPartlyBorrowed(QuotaAmount stopped, QuotaAmount used) {
    return isNone() || includesExcess(stopped, used);
  }

  private boolean includesExcess(QuotaAmount stopped, QuotaAmount used) {
    QuotaAmount excess = excess(used);
    return stopped.gpus() > 0 && excess.gpus() > Resources.ROUNDING_TOLERANCE
        || stopped.cpus() > 0 && excess.cpus() > Resources.ROUNDING_TOLERANCE;
  }
}
