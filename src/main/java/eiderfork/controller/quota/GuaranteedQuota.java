package eiderfork.controller.quota;

import eiderfork.model.Resources;
import eiderfork.model.Team;

/**
 * What a team is guaranteed. A team without any guarantee borrows all that it uses. Where GPUs
 * alone are guaranteed, processors are not counted; where processors alone are, every GPU is
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

  /** Whether all that is used lies within the guarantee. */
  public boolean covers(QuotaAmount used) {
    return !isNone() && !excess(used).isPositive();
  }

  /** What of the amount used lies beyond the guarantee, which is what the team borrows. */
  public QuotaAmount excess(QuotaAmount used) {
    boolean countsCpus = isNone() || cpus > 0;
    return new QuotaAmount(
        Math.max(0, used.gpus() - gpus), countsCpus ? Math.max(0, used.cpus() - cpus) : 0);
  }

  /** Whether work of this size takes anything that is guaranteed. */
  public boolean appliesTo(QuotaAmount need) {
    return gpus > 0 && need.gpus() > 0 || cpus > 0 && need.cpus() > 0;
  }

  /** Whether a team that uses this much keeps its whole guarantee without {@code stopped}. */
  public boolean isMetWithout(QuotaAmount stopped, QuotaAmount used) {
    QuotaAmount left = used.minus(stopped);
    boolean gpusKept =
        gpus <= 0 || stopped.gpus() <= 0 || left.gpus() >= gpus - Resources.ROUNDING_TOLERANCE;
    boolean cpusKept =
        cpus <= 0 || stopped.cpus() <= 0 || left.cpus() >= cpus - Resources.ROUNDING_TOLERANCE;
    return gpusKept && cpusKept;
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
    QuotaAmount beyond = excess(used);
    return stopped.gpus() > 0 && beyond.gpus() > Resources.ROUNDING_TOLERANCE
        || stopped.cpus() > 0 && beyond.cpus() > Resources.ROUNDING_TOLERANCE;
  }
}
