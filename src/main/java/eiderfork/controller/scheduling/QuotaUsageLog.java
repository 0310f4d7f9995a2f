package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.PreemptionDecision;
import eiderfork.controller.quota.TeamUsage;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Periodically logs the usage and borrowed quota of teams and the numbers of preemptions and
 * refusals.
 */
final class QuotaUsageLog {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaUsageLog.class);

  private static final long LOG_INTERVAL_MS = 60_000;

  private final ControllerContext context;
  private final Map<PreemptionDecision.Refusal, Long> refusals =
      new EnumMap<>(PreemptionDecision.Refusal.class);
  private long preemptions;
  private long nextLogMs;

  QuotaUsageLog(ControllerContext context) {
    this.context = context;
  }

  /** Resets the counts, after each log interval and at the end of a leadership term. */
  void clear() {
    refusals.clear();
    preemptions = 0;
  }

  /** Counts the preemption of a task or a whole gang. */
  void countPreemption() {
    preemptions++;
  }

  /** Counts an examined task that may not be preempted. */
  void countRefusal(PreemptionDecision.Refusal reason) {
    refusals.merge(reason, 1L, Long::sum);
  }

  /** Logs the usage of teams and the counts if the interval has elapsed. */
  void logIfDue(Supplier<List<TeamUsage>> usages) {
    if (context.nowMs() < nextLogMs) {
      return;
    }
    nextLogMs = context.nowMs() + LOG_INTERVAL_MS;
    usages.get().forEach(QuotaUsageLog::logUsage);
    LOG.info("quota-preemptions count={} refusals={}", preemptions, refusals);
    clear();
  }

  private static void logUsage(TeamUsage usage) {
    LOG.info(
        "quota-usage team={} guaranteedGpus={} usedGpus={} borrowedGpus={} requestedGpus={}"
            + " shortfallGpus={} usedCpus={} borrowedCpus={}",
        usage.team(),
        usage.guarantee().gpus(),
        usage.used().gpus(),
        usage.borrowed().gpus(),
        usage.requested().gpus(),
        usage.shortfallWithinGuarantee().gpus(),
        usage.used().cpus(),
        usage.borrowed().cpus());
  }
}
