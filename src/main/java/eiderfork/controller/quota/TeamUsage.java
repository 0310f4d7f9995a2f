package eiderfork.controller.quota;

/**
 * What a team is guaranteed, uses and requests at a moment.
 *
 * @param used all that its tasks hold, unknown starts and tasks that are stopping included
 * @param stopping the part of it that is about to end
 * @param promised capacity that is claimed for the team and not used yet
 * @param requested what its pending tasks would take
 */
public record TeamUsage(
    TeamId team,
    GuaranteedQuota guarantee,
    QuotaAmount used,
    QuotaAmount stopping,
    QuotaAmount promised,
    QuotaAmount requested) {
  /** What the team still uses once all that is stopping has ended. */
  public QuotaAmount usedAfterStopping() {
    return used.minus(stopping);
  }

  /** What it uses beyond its guarantee. */
  public QuotaAmount borrowed() {
    return guarantee.excess(used);
  }

  /** What it requests and does not hold, as far as the guarantee covers it. */
  public QuotaAmount shortfallWithinGuarantee() {
    return new QuotaAmount(
        shortfall(guarantee.gpus(), used.gpus(), requested.gpus()),
        shortfall(guarantee.cpus(), used.cpus(), requested.cpus()));
  }

  private static double shortfall(double guaranteed, double used, double requested) {
    return Math.max(0, Math.min(guaranteed - used, requested));
  }

  /** Whether work of this size fits into the guarantee beside all that is used and promised. */
  public boolean canCover(QuotaAmount demand) {
    return guarantee.appliesTo(demand) && guarantee.covers(used.plus(promised).plus(demand));
  }

  TeamUsage withStopping(QuotaAmount stopped) {
    return new TeamUsage(team, guarantee, used, stopping.plus(stopped), promised, requested);
  }
}
