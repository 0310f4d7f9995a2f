package eiderfork.controller.quota;

/**
 * What a team is guaranteed, uses and asks for at a moment.
 *
 * @param used all that its tasks hold, unknown starts and tasks that are stopping included
 * @param stopping the part of it that is about to end
 * @param promised room that is being made or was placed for the team since {@code used} was counted
 * @param requested what its waiting tasks would take
 */
public record TeamUsage(
    TeamId team,
    GuaranteedQuota guarantee,
    QuotaAmount limit,
    QuotaAmount used,
    QuotaAmount stopping,
    QuotaAmount promised,
    QuotaAmount requested) {
  /** What the team goes on using once all that is stopping has ended. */
  public QuotaAmount usedAfterStopping() {
    return used.minus(stopping);
  }

  /** What it uses beyond its guarantee. */
  public QuotaAmount borrowed() {
    return guarantee.excess(used);
  }

  /** What it asks for and is not given, as far as the guarantee covers it. */
  public QuotaAmount shortfallWithinGuarantee() {
    return new QuotaAmount(
        shortfall(guarantee.gpus(), used.gpus(), requested.gpus()),
        shortfall(guarantee.cpus(), used.cpus(), requested.cpus()));
  }

  private static double shortfall(double guaranteed, double used, double asked) {
    return Math.max(0, Math.min(guaranteed - used, asked));
  }

  /** Whether work of this size fits into the guarantee beside all that is used and promised. */
  public boolean canCover(QuotaAmount need) {
    return guarantee.appliesTo(need) && guarantee.covers(used.plus(promised).plus(need));
  }

  TeamUsage withStopping(QuotaAmount stopped) {
    return new TeamUsage(team, guarantee, limit, used, stopping.plus(stopped), promised, requested);
  }

  TeamUsage withPromised(QuotaAmount more) {
    return new TeamUsage(team, guarantee, limit, used, stopping, promised.plus(more), requested);
  }
}
