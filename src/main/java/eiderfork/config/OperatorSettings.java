package eiderfork.config;

/**
 * The operators' settings, each of which has a default.
 *
 * @param updateWindowShare how long the ends of a job's tasks are collected for one write, as a
 *     share of the heartbeat interval, of which no more than a second counts
 * @param leaderLeaseShare the lease of the key {@code leader}, as a share of the workers' lease, of
 *     which no more than ten seconds count
 * @param headroomDeviations the headroom for services, in standard deviations of their arrivals
 *     within a boot time
 * @param idleBootShare how long an idle machine is kept, as a share of its type's boot time
 * @param isSpotAllowed whether spot machines may be rented
 * @param endedJobRetentionS how long jobs that have ended stay in the leader's memory before they
 *     are archived
 * @param maxEndedJobs past this number the jobs that ended first are archived sooner
 * @param standbyCount how many nodes keep a replica of the store to take over with
 * @param isLendingEnabled whether batch jobs may borrow quota, which guarantees reclaim
 * @param loanCooldownBoots how long reclaimed capacity is not lent again at first, as a share of
 *     the machine's boot time
 * @param traceFile where failovers are traced, as lines of JSON; null for nowhere
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
  /** The settings where the operators set nothing. */
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(0.2, 0.33, 1.0, 0.5, true, 3600, 10_000, 0, false, 1.0, null);
}
