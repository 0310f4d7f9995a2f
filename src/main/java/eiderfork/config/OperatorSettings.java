package eiderfork.config;

/**
 * The settings that operators can override; each has a default.
 *
 * @param updateWindowShare the time for which a job's ended tasks are collected for one write, as a
 *     share of the heartbeat interval, which counts up to one second
 * @param leaderLeaseShare the duration of the lease of the key {@code leader}, as a share of the
 *     workers' lease, which counts up to ten seconds
 * @param headroomDeviations the spare capacity for services, in standard deviations of their
 *     arrivals within a boot time
 * @param idleBootShare the time for which an idle machine is kept, as a share of the boot time of
 *     its type
 * @param isSpotAllowed whether spot machines may be rented
 * @param endedJobRetentionS the time for which ended jobs stay in the leader's memory before they
 *     are archived
 * @param maxEndedJobs the maximum number of ended jobs in memory; beyond it, the jobs that ended
 *     first are archived sooner
 * @param standbyCount the number of nodes that keep a replica of the store with which they can take
 *     over
 * @param isLendingEnabled whether batch jobs may borrow unused quota, which its owner can reclaim
 * @param loanCooldownBoots the initial time for which reclaimed capacity is not lent again, as a
 *     multiple of the machine's boot time
 * @param traceFile the file to which failover traces are written as JSON lines; null to write none
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
  /** The defaults. */
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(0.2, 0.33, 1.0, 0.5, true, 3600, 10_000, 0, false, 1.0, null);
}
