package eiderfork.controller.quota;

/**
 * A snapshot of a team's guarantee, usage and requests.
 *
 * @param used the quota held by its tasks, including possible starts and tasks that are stopping
 * @param stopping the part of {@code used} that belongs to tasks about to end
 * @param claimed the capacity that is claimed for the team but not used yet
 * @param requested the quota that its pending tasks would use
 */
public record TeamUsage(
    TeamId team,
    GuaranteedQuota guarantee,
    QuotaAmount used,
    QuotaAmount stopping,
    QuotaAmount claimed,
    QuotaAmount requested) {
  /** The quota that remains in use once all stopping tasks have ended. */
  public QuotaAmount usedAfterStopping() {
    return used.minus(stopping);
  }

  /** The quota that the team uses beyond its guarantee. */
  public QuotaAmount borrowed() {
    return guarantee.excess(used);
  }

  /** The requested quota that the unused part of the guarantee covers. */
  public QuotaAmount shortfallWithinGuarantee() {
    return new QuotaAmount(
        shortfall(guarantee.gpus(), used.gpus(), requested.gpus()),
        shortfall(guarantee.cpus(), used.cpus(), requested.cpus()));
  }

  private static double shortfall(double guaranteed, double used, double requested) {
    return Math.max(0, Math.min(guaranteed - used, requested));
  }

  /** Returns whether the guarantee covers the demand on top of all used and claimed quota. */
  public boolean canCover(QuotaAmount demand) {
    return guarantee.appliesTo(demand) && guarantee.covers(used.plus(claimed).plus(demand));
  }

  TeamUsage withStopping(QuotaAmount stopped) {
    return new TeamUsage(team, guarantee, used, stopping.plus(stopped), claimed, requested);
  }
}
