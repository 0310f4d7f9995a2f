package eiderfork.config;

/**
 * What operators may set themselves, each with a default.
 *
 * @param updateWindowShare how long the ends of a job's tasks are collected for one write, as a
 *     share of report_s, of which no more than a second counts
 * @param leaderLeaseShare the leader's lease in the state service, as a share of lease_s, of which
 *     no more than ten seconds count
 * @param headroomDeviations how many standard deviations of arrivals within a boot time stay free
 * @param idleBootShare how long an unneeded machine is kept, as a share of its type's boot time
 * @param isSpotAllowed whether spot machines may be rented
 * @param endedJobRetentionS how long jobs that are over stay in the leader's memory, in seconds,
 *     before they are archived
 * @param maxEndedJobs past this many of them the oldest are archived sooner
 * @param standbyCount how many nodes keep a copy of what is committed, to take the lead over with
 * @param isLendingEnabled whether batch work borrows by the rules of lending, and is reclaimed by
 *     guarantees
 * @param loanCooldownBoots how long room that was reclaimed is not lent again at first, as a share
 *     of its machine's boot time
 * @param traceFile where takeovers are traced, as lines of JSON; null for nowhere
 */
public record OperatorSettings(
    double updateWindowShare,
    double leaderLeaseShare,
    double headroomDeviations,
    double idleBootShare,
    boolean isSpotAllowed,
    double endedJobRetentionS,
    int maxEndedJobs,
    int standbyCount,
    boolean isLendingEnabled,
    double loanCooldownBoots,
    String traceFile) {
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(0.2, 0.33, 1.0, 0.5, true, 3600, 10_000, 0, false, 1.0, null);
}
